package match

import (
	"fmt"
	"strings"
	"testing"

	"quincerail.example/quincerail/describe"
)

// twentyRules returns a rule file with 20 rules, about as many as a partner has: 19 rules that
// match by method and path, and one that matches by body. It also returns the first 19 rules
// as routes, and a request for each of them.
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
			Frontend: "http", Method: "POST", Path: fmt.Sprintf("/api/v1/s%d", i),
			Headers: map[string]string{"idempotency-key": "k", "content-type": "application/json"},
		})
	}
	b.WriteString("[[rule]]\nname = 'body'\nmatch = 'body.has_json(\"gava\")'\nclass = '\"ny-gava\"'\nkey = 'body.json(\"gava\")'\n")
	return b.String(), routes, requests
}

// BenchmarkClassify measures the classification of requests by rules, and for comparison by a
// table of routes with a header lookup. The requests match each of the 19 routes in turn.
func BenchmarkClassify(b *testing.B) {
	text, routes, requests := twentyRules()
	s := mustParse(b, text)
	b.Run("rules", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			if _, ok := s.Classify(requests[i%len(requests)]); !ok {
				b.Fatal("no rule matches")
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
				b.Fatal("no route matches")
			}
			_ = r.Headers[strings.ToLower(route.KeyHeader)]
		}
	})
}
