// Package dispatchtest has helpers for tests of the packages that use the core: a running
// core with the settings of the example, and a Responder that records answers.
package dispatchtest

import (
	"cmp"
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

// Answers is a Responder that sends each answer to the channel, as "id kind".
type Answers chan string

// Respond implements dispatch.Responder.
func (a Answers) Respond(id string, o dispatch.Outcome) { a <- fmt.Sprint(id, " ", o.Kind) }

// ReadExample returns the text of a file in the folder example.
func ReadExample(t testing.TB, name string) string {
	t.Helper()
	_, thisFile, _, _ := runtime.Caller(0)
	text, err := os.ReadFile(filepath.Join(filepath.Dir(thisFile), "..", "..", "example", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// StartCore starts a core with the settings of the example config.json and opt. It runs until the
// test ends. Unless opt sets its capacity, its mailbox has no room, so that a core that waits for
// itself hangs at once.
func StartCore(t *testing.T, opt dispatch.Options) *dispatch.Core {
	t.Helper()
	var config struct {
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal([]byte(ReadExample(t, "config.json")), &config); err != nil {
		t.Fatal(err)
	}
	var err error
	if opt.Settings, err = simwire.Settings(string(config.Settings)); err != nil {
		t.Fatal(err)
	}
	opt.Settings.CacheTTL = 0
	opt.MailboxCapacity = cmp.Or(opt.MailboxCapacity, -1)
	for _, class := range gjson.GetBytes(config.Settings, "lanes").Array() {
		opt.Classes = append(opt.Classes, class.Get("name").String())
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
