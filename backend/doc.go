// Package backend implements the backends that run requests. [Processor] sends them to the
// processor over one connection, which it redials after a failure (processor.go and
// commands.go). [UWSGI] sends them to a uwsgi application server (uwsgi.go).
package backend
