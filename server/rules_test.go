package server_test

import (
	"fmt"
	"testing"

	"quincerail.example/quincerail/config"
	"quincerail.example/quincerail/match"
)

// rulesForAll is a rule file for every frontend. A request whose body has a gift gets the
// keyed class ny-gava; a request to ny-gava whose body has none gets the safe class
// kampanjsida.
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

// TestRules_ClassifyAlikeOnEveryFrontend applies one rule file on both frontends of the app
// server and on the library's sample service. The number of runs of duplicates shows the
// class: a request of a keyed class runs once, one of a safe class runs each time.
func TestRules_ClassifyAlikeOnEveryFrontend(t *testing.T) {
	const want = "served done: {\"gava\": \"g1\"}, served done: {\"gava\": \"g1\"}, 1 run; " +
		"served done: x, served done: x, 2 runs"
	for _, f := range frontends {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			h := f.newHarness(t, func(c *config.Config) {
				set, err := match.Parse(rulesForAll, c.Classes)
				if err != nil {
					t.Fatal(err)
				}
				c.Rules = set
			})
			body := `{"gava": "g1"}`
			a := outcome(t, f.ask(t, h, "kampanjsida", "", body))
			b := outcome(t, f.ask(t, h, "kampanjsida", "", body))
			c := outcome(t, f.ask(t, h, "ny-gava", "k", "x"))
			d := outcome(t, f.ask(t, h, "ny-gava", "k", "x"))
			got := fmt.Sprintf("%s, %s, %d run; %s, %s, %d runs", describeOutcome(a), describeOutcome(b), h.work.Runs(body),
				describeOutcome(c), describeOutcome(d), h.work.Runs("x"))
			if got != want {
				t.Errorf("outcomes and runs on %s:\ngot  %s\nwant %s", f.name, got, want)
			}
		})
	}
}
