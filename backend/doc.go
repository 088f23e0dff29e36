// Package backend runs requests: at the processor, over a connection that may break
// ([Processor], in processor.go and commands.go), and at a uwsgi application server
// ([UWSGI], in uwsgi.go).
package backend
