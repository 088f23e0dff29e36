package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

// updateSettings puts settings without tenants in force.
func (h *harness) updateSettings(s decision.Settings, names ...string) error {
	return h.updateSettingsAndTenants(s, names, nil)
}

func (h *harness) updateSettingsAndTenants(s decision.Settings, classes, tenants []string) error {
	result := make(chan error, 1)
	go func() { result <- h.UpdateSettings(s, classes, tenants) }()
	h.wait()
	return <-result
}

// submitRead submits a tenant's request of the class read.
func (h *harness) submitRead(id, tenant string) error {
	return h.Submit(h.withDefaults(Request{ID: id, Class: "read", Tenant: tenant}))
}

// TestUpdateSettings_ChangesClasses removes a class and later adds it again. An open request
// keeps the deadline of its removed class, whose further requests are not accepted. A key of
// the class keeps its window. Invalid settings change nothing.
func TestUpdateSettings_ChangesClasses(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		update := h.updateSettings
		rejects := func(class string) bool {
			return h.Submit(h.withDefaults(Request{ID: "rejected " + class, Class: class, Key: "k"})) != nil
		}
		h.submit(t, "open", "gift", "k")
		s := settings()
		s.Classes = slices.Clone(s.Classes)
		s.Classes[1].Deadline = time.Second + testSlack // of pledge, which has gift's place in the list
		if err := update(s, "read", "pledge", "receipt"); err != nil {
			t.Fatal(err)
		}
		if !rejects("gift") {
			t.Error("request of a removed class was accepted")
		}
		h.submit(t, "new", "pledge", "k")
		h.sleep(testDeadline - time.Second)
		h.wantAnswer(t, "new", TimedOut, "")
		h.completeRun("open", RunSucceeded, "thanks")
		h.wantAnswer(t, "open", Served, "thanks")

		invalid := settings()
		invalid.Classes = slices.Clone(invalid.Classes)
		invalid.Classes[2].Deadline = 0
		noClasses := settings()
		noClasses.Classes = nil
		for _, err := range []error{update(invalid, "read", "gift", "receipt"), update(s, "read", "read", "receipt"), update(s, "read"), update(noClasses)} {
			if err == nil {
				t.Error("UpdateSettings with invalid settings = nil, want an error")
			}
		}
		if !rejects("gift") {
			t.Error("request of a removed class was accepted after invalid settings with the class")
		}
		if err := update(settings(), "read", "gift", "receipt"); err != nil {
			t.Fatal(err)
		}
		h.submit(t, "again", "gift", "k")
		h.wantAnswer(t, "again", Served, "thanks") // the key's window continues
	})
}

// tenantIndexes checks the indexes of tenants across settings updates.
type tenantIndexes struct {
	*harness
	byName map[string]int // of all tenants that have been in force
}

// update puts settings with these tenants in force; the quota of each is its position in the
// list, from 1.
func (ti *tenantIndexes) update(names ...string) error {
	s := settings()
	for i := range names {
		s.Tenants = append(s.Tenants, decision.Tenant{Quota: float64(i + 1)})
	}
	return ti.updateSettingsAndTenants(s, []string{"read", "gift", "receipt"}, names)
}

// check looks up a tenant, and compares its index with the earlier ones.
func (ti *tenantIndexes) check(t *testing.T, inForce []string, name string) {
	t.Helper()
	index, ok := ti.currentSettings.Load().tenantIndex(name)
	i := slices.Index(inForce, name)
	if ok != (i >= 0 || len(inForce) == 0) {
		t.Errorf("tenants %v: tenantIndex(%q) ok = %t, want %t", inForce, name, ok, !ok)
	}
	if !ok {
		return
	}
	if len(inForce) == 0 {
		name = ""
	}
	if previous, known := ti.byName[name]; known && previous != index {
		t.Errorf("tenants %v: index of %q changed from %d to %d", inForce, name, previous, index)
	}
	for other, taken := range ti.byName {
		if other != name && taken == index {
			t.Errorf("tenants %v: %q and %q have the same index %d", inForce, name, other, index)
		}
	}
	ti.byName[name] = index
	if quota := ti.settings.Tenants[index].Quota; quota != float64(i+1) {
		t.Errorf("tenants %v: quota of %q = %v, want %d", inForce, name, quota, i+1)
	}
}

// TestUpdateSettings_TenantsKeepIndexes updates the tenants several times, also to none. Each
// tenant keeps its index, so that none is counted as another. Removed names are unknown, and
// duplicate or empty ones are rejected.
func TestUpdateSettings_TenantsKeepIndexes(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		ti := &tenantIndexes{harness: h, byName: map[string]int{"": 0}}
		for _, names := range [][]string{{"a", "b"}, {"b", "c", "a"}, {}, {"c"}, {"d", "b"}, {}} {
			must(t, ti.update(names...))
			for _, name := range []string{"a", "b", "c", "d", "e"} {
				ti.check(t, names, name)
			}
		}
		for _, names := range [][]string{{"a", "a"}, {"a", ""}, {""}} {
			if ti.update(names...) == nil {
				t.Errorf("UpdateSettings with tenants %q = nil, want an error", names)
			}
		}
		if index, ok := h.currentSettings.Load().tenantIndex("a"); !ok || index != 0 {
			t.Errorf("tenantIndex(%q) = %d, %t after rejected settings, want 0, true", "a", index, ok)
		}
	})
}

// TestUpdateSettings_RequestKeepsTenant changes the settings after requests were submitted and
// before they are received: each keeps its tenant.
func TestUpdateSettings_RequestKeepsTenant(t *testing.T) {
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
		for index, tenant := range []string{"a", "b"} {
			if a := h.attempts["of "+tenant]; a == nil || a.tenantIndex != index {
				t.Errorf("attempt of tenant %s = %+v, want tenantIndex %d", tenant, a, index)
			}
		}
		if h.submitRead("late", "a") == nil {
			t.Error("request of a removed tenant was accepted")
		}
	})
}

// TestTenants_OverQuotaWaitsBehindOthers checks that the module gets the tenant of each
// request: a request of a tenant far over its quota waits behind a later one of another
// tenant.
func TestTenants_OverQuotaWaitsBehindOthers(t *testing.T) {
	runTestWith(t, func(o *Options) {
		o.Settings.Tenants, o.Tenants = []decision.Tenant{{Quota: 1}, {Quota: 1000}}, []string{"over quota", "under quota"}
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
			read(id, "over quota")
			h.completeRun(id, RunSucceeded, "")
		}
		for i := range h.settings.Cores {
			read(fmt.Sprint("running ", i), "over quota")
		}
		read("first", "over quota")
		h.sleep(time.Millisecond)
		read("second", "under quota")
		if h.starts["first"]+h.starts["second"] > 0 {
			t.Fatalf("starts = %v, want neither first nor second while all cores are busy", h.starts)
		}
		h.completeRun("running 0", RunSucceeded, "")
		if h.starts["second"] != 1 || h.starts["first"] != 0 {
			t.Errorf("starts = %v, want second before first", h.starts)
		}
	})
}

// TestRegistrar_FollowsHealthIfSet checks that the reports to the registrar include the
// server's health only with the setting EndpointListOmitsUnhealthy, and a drain in any case.
func TestRegistrar_FollowsHealthIfSet(t *testing.T) {
	for _, follows := range []bool{true, false} {
		runTestWith(t, func(o *Options) { o.Settings.EndpointListOmitsUnhealthy = follows }, func(t *testing.T, h *harness) {
			last := func() bool { return h.accepting[len(h.accepting)-1] }
			h.runInLoop(h.Core, func() { host{h.Core}.SetHealth(false, true) })
			h.wait()
			if last() == follows {
				t.Errorf("EndpointListOmitsUnhealthy = %t: unhealthy server reported as accepting = %t, want %t", follows, last(), !follows)
			}
			changed := settings()
			changed.EndpointListOmitsUnhealthy = !follows
			if err := h.updateSettings(changed, "read", "gift", "receipt"); err != nil {
				t.Fatal(err)
			}
			if last() != follows {
				t.Errorf("EndpointListOmitsUnhealthy changed to %t: unhealthy server reported as accepting = %t, want %t", !follows, last(), follows)
			}
			h.Drain(time.Now(), time.Now().Add(time.Minute))
			h.wait()
			if last() {
				t.Error("server reported as accepting after the start of a drain, want not accepting")
			}
		})
	}
}

// TestLoadReport_FollowsSettings checks that there is a load value whenever the settings
// define one, and that it is computed anew when its definition changes.
func TestLoadReport_FollowsSettings(t *testing.T) {
	runTestWith(t, func(o *Options) { o.Settings.LoadReportMode = decision.LoadReportMinRank }, func(t *testing.T, h *harness) {
		for _, mode := range []decision.LoadReportMode{decision.LoadReportMinRank, decision.LoadReportNone, decision.LoadReportMinRank, decision.LoadReportCredit, decision.LoadReportNone} {
			s := settings()
			s.LoadReportMode = mode
			if err := h.updateSettings(s, "read", "gift", "receipt"); err != nil {
				t.Fatal(err)
			}
			h.sleep(time.Second)
			value, ok := h.LoadReport()
			if ok != (mode != decision.LoadReportNone) || mode == decision.LoadReportCredit && value < 1 {
				t.Errorf("mode %d: LoadReport() = %v, %t, want ok = %t, and in mode %d at least 1",
					mode, value, ok, mode != decision.LoadReportNone, decision.LoadReportCredit)
			}
		}
	})
}
