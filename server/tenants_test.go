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

// withTenants gives the settings of the example that has tenants, whose callers tell
// how long they wait, changed in places. The addresses stay.
func withTenants(t testing.TB, change ...string) func(*config.Config) {
	return func(c *config.Config) {
		text := dispatchtest.ReadExample(t, "tenants.json")
		next := must(config.Parse(strings.NewReplacer(change...).Replace(text)))(t)
		next.ListenAddress, next.ControlAddress, next.ProcessorAddress, next.DependencyAddress, next.DiscoveryAddress =
			c.ListenAddress, c.ControlAddress, c.ProcessorAddress, c.DependencyAddress, c.DiscoveryAddress
		*c = *next
	}
}

// ofTeam is a request of a tenant, with other fields besides.
func (b *balancer) ofTeam(class, team, body string, further ...string) {
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

// reply reads the next reply of execute or check.
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

// TestCallersFields: a tenant or class that the settings don't have, and a time that
// is none, get one clear answer and never run; a time that is missing, or longer than
// any client waits, leaves the class's deadline. The connection goes on.
func TestCallersFields(t *testing.T) {
	w := newHarness(t, withTenants(t))
	b := w.balancer(t)
	for _, x := range []struct{ name, class, team, limit, want string }{
		{"sound", "book", "coast", "5000", "served"},
		{"no time", "book", "lake", "", "served"},
		{"time 0", "status", "north", "0", "served"},
		{"time in parts", "status", "north", "4500.75", "served"},
		{"time far too long", "book", "north", "9223372036854775808", "served"},
		{"time beyond that", "status", "north", "1e300", "served"},
		{"time too large for a number", "book", "north", "1e999", "rejected"},
		{"time below 0", "book", "coast", "-1", "rejected"},
		{"time that is no number", "status", "coast", "NaN", "rejected"},
		{"endless time", "status", "coast", "+Inf", "rejected"},
		{"time in words", "status", "coast", "soon", "rejected"},
		{"unknown tenant", "book", "south", "5000", "rejected"},
		{"no tenant", "book", "", "5000", "rejected"},
		{"unknown class", "ny-gava", "coast", "5000", "rejected"},
	} {
		var further []string
		if x.limit != "" {
			further = []string{"limit", x.limit}
		}
		b.ofTeam(x.class, x.team, x.name, further...)
		if reply := b.reply(); reply.Seq != b.seq || reply.Outcome().Kind != x.want {
			t.Errorf("%s: %+v, want %s", x.name, reply, x.want)
		}
		if runs := w.work.Runs(x.name); (runs == 1) != (x.want == "served") || runs > 1 {
			t.Errorf("%s: %d runs", x.name, runs)
		}
	}
}

// TestCallersLimit: a request is answered by the time that its caller waits, long
// before its class's deadline, and its run is stopped.
func TestCallersLimit(t *testing.T) {
	w := newHarness(t, withTenants(t))
	b, began := w.balancer(t), time.Now()
	const limit = 300 * time.Millisecond
	b.ofTeam("book", "coast", "hang on", "limit", strconv.Itoa(int(limit.Milliseconds())))
	if reply, took := b.reply(), time.Since(began); reply.Outcome().Kind != "failed" || took < limit/2 || took > 3*time.Second {
		t.Errorf("%+v after %v", reply, took)
	}
	if body := <-w.work.Stopped(); body != "hang on" {
		t.Errorf("%s was stopped", body)
	}
}

// TestFeedback: every answer and health check carries the free value, a number of 0 or
// more, while the settings have one, and none once new settings have none.
func TestFeedback(t *testing.T) {
	var running config.Config
	w := newHarness(t, func(c *config.Config) {
		withTenants(t)(c)
		running = *c
	})
	for _, say := range []bool{true, false} {
		if !say {
			next := running
			withTenants(t, `"say": "min_rank"`, `"say": "silent"`)(&next)
			if err := w.Reload(&next, nil); err != nil {
				t.Fatal(err)
			}
		}
		b := w.balancer(t)
		b.ofTeam("status", "north", "a page")
		b.ofTeam("status", "north", "fail now")
		b.seq++
		b.write(fakes.AppendCheck(nil, b.seq, false))
		for range 3 {
			reply := b.reply()
			value, err := strconv.ParseFloat(reply.Fields["feedback"], 64)
			if got := err == nil && value >= 0; got != say || !say && reply.Fields["feedback"] != "" {
				t.Errorf("say %t: %+v", say, reply)
			}
		}
	}
}
