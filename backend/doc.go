// Package backend implements the backends that run requests. [Processor] runs them at the
// processor over one connection, which it redials after a break (processor.go and
// commands.go). [UWSGI] runs them at a uwsgi application server (uwsgi.go).
package backend
