package match

import (
	"fmt"
	"strings"
	"testing"

	"quincerail.example/quincerail/describe"
)

// twentyRules is a rule set of 20 rules, as a partner would have it: 19 by method and path,
// with a key's header, and one by the body; and the same as routes for the table.
func twentyRules() (string, describe.Routes, []Request) {
	var b strings.Builder
	var routes describe.Routes
	var requests []Request
	for i := range 19 {
		class := classes[i%3]
		fmt.Fprintf(&b, "[[rule]]\nname = 'r%d'\nmatch = 'method == \"POST\" && path == \"/api/v1/s%d\"'\n", i, i)
		fmt.Fprintf(&b, "class = '\"%s\"'\n", class)
		if class == "ny-gava" {
			b.WriteString("key = 'headers[\"idempotency-key\"]'\n")
		}
		routes = append(routes, describe.Route{
			Method: "POST", Path: fmt.Sprintf("/api/v1/s%d", i), Class: class,
			KeyHeader: "Idempotency-Key",
		})
		requests = append(requests, Request{
			Front: "http", Method: "POST", Path: fmt.Sprintf("/api/v1/s%d", i),
			Headers: map[string]string{"idempotency-key": "k", "content-type": "application/json"},
		})
	}
	b.WriteString("[[rule]]\nname = 'body'\nmatch = 'body.has_json(\"gava\")'\nclass = '\"ny-gava\"'\nkey = 'body.json(\"gava\")'\n")
	return b.String(), routes, requests
}

// BenchmarkClassify compares the rules with the table of routes and a header's lookup, over
// requests that each rule matches in turn.
func BenchmarkClassify(b *testing.B) {
	text, routes, requests := twentyRules()
	s := mustParse(b, text)
	b.Run("rules", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			if _, ok := s.Classify(requests[i%len(requests)]); !ok {
				b.Fatal("no rule")
			}
		}
	})
	table := routes.Compile()
	b.Run("routes", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			r := requests[i%len(requests)]
			route, ok := table.Match(r.Method, r.Path)
			if !ok {
				b.Fatal("no route")
			}
			_ = r.Headers[strings.ToLower(route.KeyHeader)]
		}
	})
}
