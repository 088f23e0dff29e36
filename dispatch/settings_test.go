package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

// updateSettings puts other settings in force, without tenants.
func (h *harness) updateSettings(s decision.Settings, names ...string) error {
	return h.updateSettingsAndTenants(s, names, nil)
}

func (h *harness) updateSettingsAndTenants(s decision.Settings, classes, tenants []string) error {
	result := make(chan error, 1)
	go func() { result <- h.UpdateSettings(s, classes, tenants) }()
	h.wait()
	return <-result
}

// submitRead hands in a tenant's request of the class read.
func (h *harness) submitRead(id, tenant string) error {
	return h.Submit(h.withDefaults(Request{ID: id, Class: "read", Tenant: tenant}))
}

// TestUpdateSettings: an open request keeps its class's deadline though the class is removed.
// From then on the new classes are accepted and the removed one is not; a key's window goes
// on where its class returns. Invalid settings change nothing.
func TestUpdateSettings(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		update := h.updateSettings
		refused := func(class string) bool {
			return h.Submit(h.withDefaults(Request{ID: "no " + class, Class: class, Key: "k"})) != nil
		}
		h.submit(t, "open", "gift", "k")
		s := settings()
		s.Classes = slices.Clone(s.Classes)
		s.Classes[1].Deadline = time.Second + testSlack // of what stands at gift's place in this list
		if err := update(s, "read", "pledge", "receipt"); err != nil {
			t.Fatal(err)
		}
		if !refused("gift") {
			t.Error("a removed class is accepted")
		}
		h.submit(t, "new", "pledge", "k")
		h.sleep(testDeadline - time.Second)
		h.wantAnswer(t, "new", TimedOut, "")
		h.complete("open", RunSucceeded, "thanks")
		h.wantAnswer(t, "open", Served, "thanks")

		wrong := settings()
		wrong.Classes = slices.Clone(wrong.Classes)
		wrong.Classes[2].Deadline = 0
		none := settings()
		none.Classes = nil
		for _, err := range []error{update(wrong, "read", "gift", "receipt"), update(s, "read", "read", "receipt"), update(s, "read"), update(none)} {
			if err == nil {
				t.Error("invalid settings are accepted")
			}
		}
		if !refused("gift") {
			t.Error("settings that were rejected have changed something")
		}
		if err := update(settings(), "read", "gift", "receipt"); err != nil {
			t.Fatal(err)
		}
		h.submit(t, "again", "gift", "k")
		h.wantAnswer(t, "again", Served, "thanks") // the key's window goes on
	})
}

// tenantIndexes checks the indexes of tenants across several sets of settings.
type tenantIndexes struct {
	*harness
	byName map[string]int // of the tenants that have been in force
}

// update puts settings with other tenants in force; the quota of each tells its place in
// the list.
func (x *tenantIndexes) update(names ...string) error {
	s := settings()
	for i := range names {
		s.Tenants = append(s.Tenants, decision.Tenant{Quota: float64(i + 1)})
	}
	return x.updateSettingsAndTenants(s, []string{"read", "gift", "receipt"}, names)
}

// check looks a tenant up, and compares its index with those of before.
func (x *tenantIndexes) check(t *testing.T, inForce []string, name string) {
	t.Helper()
	index, ok := x.currentSettings.Load().tenantIndex(name)
	i := slices.Index(inForce, name)
	if ok != (i >= 0 || len(inForce) == 0) {
		t.Errorf("%v: %s is accepted: %t", inForce, name, ok)
	}
	if !ok {
		return
	}
	if len(inForce) == 0 {
		name = ""
	}
	if former, known := x.byName[name]; known && former != index {
		t.Errorf("%v: %q moves from index %d to %d", inForce, name, former, index)
	}
	for other, taken := range x.byName {
		if other != name && taken == index {
			t.Errorf("%v: %q and %q share index %d", inForce, name, other, index)
		}
	}
	x.byName[name] = index
	if quota := x.settings.Tenants[index].Quota; quota != float64(i+1) {
		t.Errorf("%v: %s has the quota %v", inForce, name, quota)
	}
}

// TestUpdateTenants: a tenant keeps its index whatever settings come, those without tenants
// included, so that none is counted as another; names that are removed, empty or there
// twice are rejected.
func TestUpdateTenants(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		x := &tenantIndexes{harness: h, byName: map[string]int{"": 0}}
		for _, names := range [][]string{{"a", "b"}, {"b", "c", "a"}, {}, {"c"}, {"d", "b"}, {}} {
			must(t, x.update(names...))
			for _, name := range []string{"a", "b", "c", "d", "e"} {
				x.check(t, names, name)
			}
		}
		for _, names := range [][]string{{"a", "a"}, {"a", ""}, {""}} {
			if x.update(names...) == nil {
				t.Errorf("%q is accepted", names)
			}
		}
		if index, ok := h.currentSettings.Load().tenantIndex("a"); !ok || index != 0 {
			t.Error("settings that were rejected have changed something")
		}
	})
}

// TestTenantOfRequest: a request keeps its tenant, though the settings change before it is
// received.
func TestTenantOfRequest(t *testing.T) {
	runTestWith(t, func(o *Options) {
		o.Settings.Tenants, o.Tenants = []decision.Tenant{{Quota: 1}, {Quota: 2}}, []string{"a", "b"}
	}, func(t *testing.T, h *harness) {
		next := settings()
		next.Tenants = []decision.Tenant{{Quota: 2}, {Quota: 1}}
		h.applySettingsBefore(t, next, []string{"read", "gift", "receipt"}, []string{"c", "b"}, func() {
			for _, tenant := range []string{"a", "b"} {
				if err := h.submitRead("of "+tenant, tenant); err != nil {
					t.Fatal(err)
				}
			}
		})
		for place, tenant := range []string{"a", "b"} {
			if a := h.attempts["of "+tenant]; a == nil || a.tenantIndex != place {
				t.Errorf("the request of %s is under another: %+v", tenant, a)
			}
		}
		if h.submitRead("late", "a") == nil {
			t.Error("a removed tenant is accepted")
		}
	})
}

// TestTenantsShare: the module hears of each request's tenant. Requests of a tenant that is
// far over its quota wait behind others of the same class, in whatever order they came.
func TestTenantsShare(t *testing.T) {
	runTestWith(t, func(o *Options) {
		o.Settings.Tenants, o.Tenants = []decision.Tenant{{Quota: 1}, {Quota: 1000}}, []string{"floods", "sparing"}
		o.Settings.OverQuotaWeight = 0.05
	}, func(t *testing.T, h *harness) {
		read := func(id, tenant string) {
			t.Helper()
			if err := h.submitRead(id, tenant); err != nil {
				t.Fatal(err)
			}
			h.wait()
		}
		for i := range 40 {
			id := fmt.Sprint("early ", i)
			read(id, "floods")
			h.complete(id, RunSucceeded, "")
		}
		for i := range h.settings.Cores {
			read(fmt.Sprint("runs ", i), "floods")
		}
		read("waits", "floods")
		h.sleep(time.Millisecond)
		read("of another", "sparing")
		if h.starts["waits"]+h.starts["of another"] > 0 {
			t.Fatal("the cores are not full")
		}
		h.complete("runs 0", RunSucceeded, "")
		if h.starts["of another"] != 1 || h.starts["waits"] != 0 {
			t.Errorf("runs %v", h.starts)
		}
	})
}

// TestListFollowsHealth: the registrar hears of a server's health where the settings have
// that, and else only whether it runs or drains.
func TestListFollowsHealth(t *testing.T) {
	for _, follows := range []bool{true, false} {
		runTestWith(t, func(o *Options) { o.Settings.EndpointListOmitsUnhealthy = follows }, func(t *testing.T, h *harness) {
			last := func() bool { return h.accepting[len(h.accepting)-1] }
			h.inLoop(h.Core, func() { host{h.Core}.SetHealth(false, true) })
			h.wait()
			if last() == follows {
				t.Errorf("follows %t: the registrar hears %t of an unhealthy server", follows, last())
			}
			other := settings()
			other.EndpointListOmitsUnhealthy = !follows
			if err := h.updateSettings(other, "read", "gift", "receipt"); err != nil {
				t.Fatal(err)
			}
			if last() != follows {
				t.Errorf("no longer follows %t: the registrar hears %t", follows, last())
			}
			h.Drain(time.Now(), time.Now().Add(time.Minute))
			h.wait()
			if last() {
				t.Error("the registrar does not hear of a drain")
			}
		})
	}
}

// TestLoadReportAcrossSettings: the load value is published while the settings give it a
// meaning, and computed anew where they give it another.
func TestLoadReportAcrossSettings(t *testing.T) {
	runTestWith(t, func(o *Options) { o.Settings.LoadReportMode = decision.LoadReportMinRank }, func(t *testing.T, h *harness) {
		for _, say := range []decision.LoadReportMode{decision.LoadReportMinRank, decision.LoadReportNone, decision.LoadReportMinRank, decision.LoadReportCredit, decision.LoadReportNone} {
			s := settings()
			s.LoadReportMode = say
			if err := h.updateSettings(s, "read", "gift", "receipt"); err != nil {
				t.Fatal(err)
			}
			h.sleep(time.Second)
			value, ok := h.LoadReport()
			if ok != (say != decision.LoadReportNone) || say == decision.LoadReportCredit && value < 1 {
				t.Errorf("say %d: %v, %t", say, value, ok)
			}
		}
	})
}
