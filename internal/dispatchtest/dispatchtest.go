// Package dispatchtest has what tests of the parties around the core share: a core
// with the example's settings at work, and a Responder that collects its answers.
package dispatchtest

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"testing"

	"github.com/tidwall/gjson"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/internal/simwire"
)

// Answers collects what a core answers, each as the request's id and the kind.
type Answers chan string

// Respond implements dispatch.Responder.
func (a Answers) Respond(id string, o dispatch.Outcome) { a <- fmt.Sprint(id, " ", o.Kind) }

// Example gives the text of one of the example's files.
func Example(t testing.TB, name string) string {
	t.Helper()
	_, here, _, _ := runtime.Caller(0)
	text, err := os.ReadFile(filepath.Join(filepath.Dir(here), "..", "..", "example", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// New starts a core with the example's settings, until the test ends.
func New(t *testing.T, opt dispatch.Options) *dispatch.Core {
	t.Helper()
	var config struct {
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal([]byte(Example(t, "config.json")), &config); err != nil {
		t.Fatal(err)
	}
	var err error
	if opt.Settings, err = simwire.Settings(string(config.Settings)); err != nil {
		t.Fatal(err)
	}
	opt.Settings.CacheTTL = 0
	for _, lane := range gjson.GetBytes(config.Settings, "lanes").Array() {
		opt.Classes = append(opt.Classes, lane.Get("name").String())
	}
	core, err := dispatch.New(opt)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	go core.Run(ctx)
	t.Cleanup(cancel)
	return core
}
