package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"quincerail.example/quincerail/protocol/uwsgi"
)

// uwsgiBackend is a stand-in for a uwsgi application server. It runs each request that it reads.
type uwsgiBackend struct {
	site     *site
	listener net.Listener
	headers  []uwsgi.Var
}

func newUWSGIBackend(s *site) (*uwsgiBackend, error) {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, err
	}
	b := &uwsgiBackend{site: s, listener: l, headers: []uwsgi.Var{{Name: "Content-Type", Value: "application/pdf"}}}
	s.onClose(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b, nil
}

func (b *uwsgiBackend) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	request, err := (&uwsgi.Decoder{MaxBody: 1 << 20}).Read(bufio.NewReader(c))
	if err != nil {
		return
	}
	body := string(request.Body)
	b.site.log("backend begins a run of %s", name(body))
	b.site.work.add(begun{class: strings.TrimPrefix(request.Get("PATH_INFO"), "/"), body: body, processor: "backend", at: time.Now()})
	time.Sleep(b.site.work.duration(body))
	_, _ = c.Write(uwsgi.AppendResponse(nil, uwsgi.Response{Status: 200, Headers: b.headers, Body: b.site.work.result(body)}))
}

// uwsgiFile writes the uwsgi frontend's file, and returns its path and the frontend's address.
func (s *site) uwsgiFile(b *uwsgiBackend) (path, address string, err error) {
	if address, err = freeAddress(); err != nil {
		return "", "", err
	}
	path = filepath.Join(s.temp, "uwsgi.toml")
	text := fmt.Sprintf("listen = %q\nbackend = %q\nkey_variable = \"HTTP_IDEMPOTENCY_KEY\"\nmax_body = 65536\n", address, b.listener.Addr())
	for _, class := range []string{"kampanjsida", "givarhistorik", gift} {
		text += fmt.Sprintf("\n[[route]]\nmethod = \"POST\"\npath = \"/%s\"\nclass = %q\n", class, class)
	}
	return path, address, os.WriteFile(path, []byte(text), 0o644)
}
