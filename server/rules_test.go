package server_test

import (
	"fmt"
	"testing"

	"quincerail.example/quincerail/config"
	"quincerail.example/quincerail/match"
)

// rulesForAll is one rule file for every front: a request whose body names a
// gift is a keyed gift whatever its class was; a gift without is a page.
const rulesForAll = `
[[rule]]
name  = "gava-i-kroppen"
match = 'body.has_json("gava")'
class = '"ny-gava"'
key   = 'body.json("gava")'

[[rule]]
name  = "gava-som-sida"
match = 'path == "/ny-gava" || headers[?"verb"].orValue("") == "ny-gava"'
class = '"kampanjsida"'
`

// TestRulesOnEveryFront plays one rule file on both of the app server's fronts
// and on the library's sample service: each classifies alike, as the runs of
// repeats show (a keyed class runs once, a safe one each time).
func TestRulesOnEveryFront(t *testing.T) {
	const want = "served done: {\"gava\": \"g1\"}, served done: {\"gava\": \"g1\"}, 1 run; " +
		"served done: x, served done: x, 2 runs"
	for _, f := range fronts {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			w := f.harness(t, func(c *config.Config) {
				set, err := match.Parse(rulesForAll, c.Classes)
				if err != nil {
					t.Fatal(err)
				}
				c.Rules = set
			})
			body := `{"gava": "g1"}`
			a := outcome(t, f.ask(t, w, "kampanjsida", "", body))
			b := outcome(t, f.ask(t, w, "kampanjsida", "", body))
			c := outcome(t, f.ask(t, w, "ny-gava", "k", "x"))
			d := outcome(t, f.ask(t, w, "ny-gava", "k", "x"))
			got := fmt.Sprintf("%s, %s, %d run; %s, %s, %d runs", describeOutcome(a), describeOutcome(b), w.work.Runs(body),
				describeOutcome(c), describeOutcome(d), w.work.Runs("x"))
			if got != want {
				t.Errorf("got  %s\nwant %s", got, want)
			}
		})
	}
}
