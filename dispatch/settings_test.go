package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"quincerail.example/quincerail/decision"
)

// retune has a core take over other settings, without tenants.
func (p *party) retune(s decision.Settings, names ...string) error {
	return p.retuneBoth(s, names, nil)
}

func (p *party) retuneBoth(s decision.Settings, classes, tenants []string) error {
	result := make(chan error, 1)
	go func() { result <- p.UpdateSettings(s, classes, tenants) }()
	p.wait()
	return <-result
}

// read hands in a tenant's request of the class read.
func (p *party) read(id, tenant string) error {
	return p.Submit(Request{ID: id, Class: "read", Tenant: tenant, ArrivedAt: time.Now(), ReservedKB: 20, Responder: sink{p}})
}

// TestRetune guards what is open against settings that change around it: it
// keeps its class's time though the class is dropped. From then on requests may
// have the new classes and not the dropped one, and one that comes back goes on.
func TestRetune(t *testing.T) {
	bubble(t, func(t *testing.T, p *party) {
		retune := p.retune
		refused := func(class string) bool {
			return p.Submit(Request{ID: "no " + class, Class: class, Key: "k", ArrivedAt: time.Now(), ReservedKB: 20, Responder: sink{p}}) != nil
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
		p.complete("open", RunSucceeded, "thanks")
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

// TestRetuneTenants: a tenant keeps its place whatever tables come, those without
// tenants included, so that nobody is counted as another; names that are gone, empty
// or there twice are not taken.
func TestRetuneTenants(t *testing.T) {
	bubble(t, func(t *testing.T, p *party) {
		retune := func(names ...string) error {
			s := settings()
			for i := range names {
				s.Tenants = append(s.Tenants, decision.Tenant{Quota: float64(i + 1)})
			}
			return p.retuneBoth(s, []string{"read", "gift", "receipt"}, names)
		}
		places := map[string]int{"": 0} // of the tenants that have been, and of none
		for _, table := range [][]string{{"a", "b"}, {"b", "c", "a"}, {}, {"c"}, {"d", "b"}, {}} {
			if err := retune(table...); err != nil {
				t.Fatal(err)
			}
			in := p.currentSettings.Load()
			for _, name := range []string{"a", "b", "c", "d", "e"} {
				place, ok := in.tenantIndex(name)
				i := slices.Index(table, name)
				if ok != (i >= 0 || len(table) == 0) {
					t.Errorf("%v: %s is taken: %t", table, name, ok)
				}
				if !ok {
					continue
				}
				if len(table) == 0 {
					name = ""
				}
				if was, known := places[name]; known && was != place {
					t.Errorf("%v: %q moves from place %d to %d", table, name, was, place)
				}
				for other, taken := range places {
					if other != name && taken == place {
						t.Errorf("%v: %q and %q share place %d", table, name, other, place)
					}
				}
				places[name] = place
				if quota := p.settings.Tenants[place].Quota; quota != float64(i+1) {
					t.Errorf("%v: %s has the quota %v", table, name, quota)
				}
			}
		}
		for _, table := range [][]string{{"a", "a"}, {"a", ""}, {""}} {
			if retune(table...) == nil {
				t.Errorf("%q is taken", table)
			}
		}
		if place, ok := p.currentSettings.Load().tenantIndex("a"); !ok || place != 0 {
			t.Error("a table that was turned down has changed something")
		}
	})
}

// TestTenantOfRequest: a request keeps its own tenant, though another table comes
// between reading and taking it in.
func TestTenantOfRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPartyWith(t, func(o *Options) {
			o.Settings.Tenants, o.Tenants = []decision.Tenant{{Quota: 1}, {Quota: 2}}, []string{"a", "b"}
		})
		defer p.end()
		next := settings()
		next.Tenants = []decision.Tenant{{Quota: 2}, {Quota: 1}}
		p.overtaken(t, next, []string{"read", "gift", "receipt"}, []string{"c", "b"}, func() {
			for _, tenant := range []string{"a", "b"} {
				if err := p.read("of "+tenant, tenant); err != nil {
					t.Fatal(err)
				}
			}
		})
		for place, tenant := range []string{"a", "b"} {
			if a := p.attempts["of "+tenant]; a == nil || a.tenantIndex != place {
				t.Errorf("the request of %s is under another: %+v", tenant, a)
			}
		}
		if p.read("late", "a") == nil {
			t.Error("a tenant that is gone is taken")
		}
	})
}

// TestTenantsShare: the module hears whose a request is. One that is far over its
// quota waits behind others of the same class, in whatever order they came.
func TestTenantsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPartyWith(t, func(o *Options) {
			o.Settings.Tenants, o.Tenants = []decision.Tenant{{Quota: 1}, {Quota: 1000}}, []string{"floods", "sparing"}
			o.Settings.OverQuotaWeight = 0.05
		})
		defer p.end()
		read := func(id, tenant string) {
			t.Helper()
			if err := p.read(id, tenant); err != nil {
				t.Fatal(err)
			}
			p.wait()
		}
		for i := range 40 {
			id := fmt.Sprint("early ", i)
			read(id, "floods")
			p.complete(id, RunSucceeded, "")
		}
		for i := range p.settings.Cores {
			read(fmt.Sprint("runs ", i), "floods")
		}
		read("waits", "floods")
		p.sleep(time.Millisecond)
		read("of another", "sparing")
		if p.runs["waits"]+p.runs["of another"] > 0 {
			t.Fatal("the cores are not full")
		}
		p.complete("runs 0", RunSucceeded, "")
		if p.runs["of another"] != 1 || p.runs["waits"] != 0 {
			t.Errorf("runs %v", p.runs)
		}
	})
}

// TestListFollowsHealth: the list hears of a server's health where the settings say so,
// and else only whether it runs or drains.
func TestListFollowsHealth(t *testing.T) {
	for _, follows := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			p := newPartyWith(t, func(o *Options) { o.Settings.ListFollowsHealth = follows })
			defer p.end()
			last := func() bool { return p.present[len(p.present)-1] }
			p.inLoop(p.Core, func() { host{p.Core}.SetHealth(false, true) })
			p.wait()
			if last() == follows {
				t.Errorf("follows %t: the list says %t of an unfit server", follows, last())
			}
			other := settings()
			other.ListFollowsHealth = !follows
			if err := p.retune(other, "read", "gift", "receipt"); err != nil {
				t.Fatal(err)
			}
			if last() != follows {
				t.Errorf("follows %t no more: the list says %t", follows, last())
			}
			p.Drain(time.Now(), time.Now().Add(time.Minute))
			p.wait()
			if last() {
				t.Error("the list is not told of a drain")
			}
		})
	}
}

// TestSaidAcrossSettings: the free value is told while the settings give it a meaning,
// and told anew where they give it another.
func TestSaidAcrossSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPartyWith(t, func(o *Options) { o.Settings.LoadReportMode = decision.LoadReportMinRank })
		defer p.end()
		for _, say := range []decision.LoadReportMode{decision.LoadReportMinRank, decision.LoadReportNone, decision.LoadReportMinRank, decision.LoadReportCredit, decision.LoadReportNone} {
			s := settings()
			s.LoadReportMode = say
			if err := p.retune(s, "read", "gift", "receipt"); err != nil {
				t.Fatal(err)
			}
			p.sleep(time.Second)
			value, ok := p.LoadReport()
			if ok != (say != decision.LoadReportNone) || say == decision.LoadReportCredit && value < 1 {
				t.Errorf("say %d: %v, %t", say, value, ok)
			}
		}
	})
}
