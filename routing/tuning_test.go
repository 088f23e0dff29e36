package routing

import (
	"slices"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

// retune has a core take over other settings.
func (p *party) retune(s decision.Settings, names ...string) error {
	result := make(chan error, 1)
	go func() { result <- p.Retune(s, names) }()
	p.wait()
	return <-result
}

// TestRetune guards what is open against settings that change around it: it
// keeps its class's time though the class is dropped. From then on requests may
// have the new classes and not the dropped one, and one that comes back goes on.
func TestRetune(t *testing.T) {
	bubble(t, func(t *testing.T, p *party) {
		retune := p.retune
		refused := func(class string) bool {
			return p.Submit(Request{ID: "no " + class, Class: class, Key: "k", Door: time.Now(), HeldKB: 20, Sink: sink{p}}) != nil
		}
		p.submit(t, "open", "gift", "k")
		s := settings()
		s.Classes = slices.Clone(s.Classes)
		s.Classes[1].Deadline = time.Second + testSlack // of what stands at gift's place in this list
		if err := retune(s, "read", "pledge", "receipt"); err != nil {
			t.Fatal(err)
		}
		if !refused("gift") {
			t.Error("a class that was dropped is taken")
		}
		p.submit(t, "new", "pledge", "k")
		p.sleep(testDeadline - time.Second)
		p.wantAnswer(t, "new", TimedOut, "")
		p.complete("open", Good, "thanks")
		p.wantAnswer(t, "open", Served, "thanks")

		wrong := settings()
		wrong.Classes = slices.Clone(wrong.Classes)
		wrong.Classes[2].Deadline = 0
		none := settings()
		none.Classes = nil
		for _, err := range []error{retune(wrong, "read", "gift", "receipt"), retune(s, "read", "read", "receipt"), retune(s, "read"), retune(none)} {
			if err == nil {
				t.Error("settings that make no sense are taken")
			}
		}
		if !refused("gift") {
			t.Error("settings that were turned down have changed something")
		}
		if err := retune(settings(), "read", "gift", "receipt"); err != nil {
			t.Fatal(err)
		}
		p.submit(t, "again", "gift", "k")
		p.wantAnswer(t, "again", Served, "thanks") // the key's window goes on
	})
}
