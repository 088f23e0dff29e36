package server_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"quincerail.example/quincerail/config"
	"quincerail.example/quincerail/internal/dispatchtest"
	"quincerail.example/quincerail/internal/fakes"
)

// withTenants replaces a configuration by the example with tenants, whose callers send the
// time that they wait, with the text replacements in change. The addresses stay.
func withTenants(t testing.TB, change ...string) func(*config.Config) {
	return func(c *config.Config) {
		text := dispatchtest.ReadExample(t, "tenants.json")
		next := must(config.Parse(strings.NewReplacer(change...).Replace(text)))(t)
		next.ListenAddress, next.ControlAddress, next.ProcessorAddress, next.DependencyAddress, next.DiscoveryAddress =
			c.ListenAddress, c.ControlAddress, c.ProcessorAddress, c.DependencyAddress, c.DiscoveryAddress
		*c = *next
	}
}

// sendForTenant sends a request of a tenant, with further fields given as names and values.
func (b *balancer) sendForTenant(class, team, body string, further ...string) {
	b.t.Helper()
	b.seq++
	fields := map[string]string{"verb": class, "txn": fakes.NewID(), "lb": "1", "ram": "20", "standing": "0.5", "unique": body}
	if team != "" {
		fields["team"] = team
	}
	for i := 0; i < len(further); i += 2 {
		fields[further[i]] = further[i+1]
	}
	b.write(fakes.AppendExecute(nil, b.seq, fields, []byte(body)))
}

// reply reads the next reply to execute or check.
func (b *balancer) reply() fakes.Reply {
	b.t.Helper()
	for {
		reply, err := fakes.ReadReply(b.r)
		if err != nil {
			b.t.Fatal(err)
		}
		if reply.Name != "leaving" {
			return reply
		}
	}
}

// TestRequestFields_InvalidValuesAreRejected checks the fields tenant, class and limit.
// A request with an unknown tenant or class, or with an invalid limit, gets one answer
// (rejected) and never runs. If the limit is missing, or longer than any client waits, the
// class's deadline applies. The connection stays usable.
func TestRequestFields_InvalidValuesAreRejected(t *testing.T) {
	h := newHarness(t, withTenants(t))
	b := h.balancer(t)
	for _, test := range []struct{ name, class, team, limit, want string }{
		{"valid", "book", "coast", "5000", "served"},
		{"no limit", "book", "lake", "", "served"},
		{"limit of 0", "status", "north", "0", "served"},
		{"fractional limit", "status", "north", "4500.75", "served"},
		{"limit over the range of int64", "book", "north", "9223372036854775808", "served"},
		{"limit of 1e300", "status", "north", "1e300", "served"},
		{"limit over the range of float64", "book", "north", "1e999", "rejected"},
		{"negative limit", "book", "coast", "-1", "rejected"},
		{"limit NaN", "status", "coast", "NaN", "rejected"},
		{"infinite limit", "status", "coast", "+Inf", "rejected"},
		{"limit not a number", "status", "coast", "soon", "rejected"},
		{"unknown tenant", "book", "south", "5000", "rejected"},
		{"no tenant", "book", "", "5000", "rejected"},
		{"unknown class", "ny-gava", "coast", "5000", "rejected"},
	} {
		var further []string
		if test.limit != "" {
			further = []string{"limit", test.limit}
		}
		b.sendForTenant(test.class, test.team, test.name, further...)
		if reply := b.reply(); reply.Seq != b.seq || reply.Outcome().Kind != test.want {
			t.Errorf("%s: reply to request %d = %+v, want %s", test.name, b.seq, reply, test.want)
		}
		if runs := h.work.Runs(test.name); (runs == 1) != (test.want == "served") || runs > 1 {
			t.Errorf("%s: the request ran %d times, want 1 if served, else 0 (outcome %s)", test.name, runs, test.want)
		}
	}
}

// TestRequestLimit_ShortensDeadline checks that a request is answered within the limit that
// its caller sent, long before its class's deadline, and that its run is cancelled.
func TestRequestLimit_ShortensDeadline(t *testing.T) {
	h := newHarness(t, withTenants(t))
	b, began := h.balancer(t), time.Now()
	const limit = 300 * time.Millisecond
	b.sendForTenant("book", "coast", "hang on", "limit", strconv.Itoa(int(limit.Milliseconds())))
	if reply, took := b.reply(), time.Since(began); reply.Outcome().Kind != "failed" || took < limit/2 || took > 3*time.Second {
		t.Errorf("reply = %+v after %v, want failed after about %v", reply, took, limit)
	}
	if body := <-h.work.Stopped(); body != "hang on" {
		t.Errorf("cancelled run = %q, want %q", body, "hang on")
	}
}

// TestLoadReport_FollowsSettings checks that every answer and health check carries the load
// report (the field feedback, a number of at least 0) while the settings turn it on, and that
// none does after a reload turns it off.
func TestLoadReport_FollowsSettings(t *testing.T) {
	var running config.Config
	h := newHarness(t, func(c *config.Config) {
		withTenants(t)(c)
		running = *c
	})
	for _, say := range []bool{true, false} {
		if !say {
			next := running
			withTenants(t, `"say": "min_rank"`, `"say": "silent"`)(&next)
			if err := h.Reload(&next, nil); err != nil {
				t.Fatal(err)
			}
		}
		b := h.balancer(t)
		b.sendForTenant("status", "north", "a page")
		b.sendForTenant("status", "north", "fail now")
		b.seq++
		b.write(fakes.AppendCheck(nil, b.seq, false))
		for range 3 {
			reply := b.reply()
			value, err := strconv.ParseFloat(reply.Fields["feedback"], 64)
			if got := err == nil && value >= 0; got != say || !say && reply.Fields["feedback"] != "" {
				t.Errorf("reply = %+v, want a load report: %t", reply, say)
			}
		}
	}
}
