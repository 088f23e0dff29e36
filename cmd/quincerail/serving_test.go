package main_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"sync"
	"testing"
	"time"

	"quincerail.example/quincerail/internal/fakes"
)

// TestServe_RequestOutcomes checks the outcomes on both frontends, with and without a failing
// downstream call or processor. A keyed request isn't sent again after the backend's
// connection breaks.
func TestServe_RequestOutcomes(t *testing.T) {
	n := startNode(t)
	for _, x := range []struct {
		client  fakes.Client
		address string
		class   string
		body    string
		want    fakes.Outcome
	}{
		{fakes.Thrift, n.thriftAddress, "kampanjsida", "a page", fakes.Outcome{Kind: "served", Body: "done: a page"}},
		{fakes.Thrift, n.thriftAddress, "kampanjsida", "call ok", fakes.Outcome{Kind: "served", Body: "done: call ok"}},
		{fakes.Thrift, n.thriftAddress, "kampanjsida", "call error", fakes.Outcome{Kind: "served", Body: "without"}},
		{fakes.Thrift, n.thriftAddress, "ny-gava", "call error", fakes.Outcome{Kind: "failed"}},
		{fakes.Thrift, n.thriftAddress, "ny-gava", "call break", fakes.Outcome{Kind: "failed"}},
		{fakes.UWSGI, n.uwsgiAddress, "kampanjsida", "a page", fakes.Outcome{Kind: "served", Body: "done: a page"}},
		{fakes.UWSGI, n.uwsgiAddress, "ny-gava", "break now", fakes.Outcome{Kind: "failed"}},
	} {
		if got := n.request(t, x.client, x.address, x.class, "key of "+x.body, x.body); got != x.want {
			t.Errorf("request of class %s with body %q has outcome %v, want %v", x.class, x.body, got, x.want)
		}
	}
	if runs := n.work.Runs("break now"); runs != 1 {
		t.Errorf("a keyed request was sent to the backend %d times after an ambiguous failure, want 1", runs)
	}
}

// TestServe_ContinuesDuringDiscoveryOutage checks that requests are served during an outage of
// the discovery service, and that reports resume after it.
func TestServe_ContinuesDuringDiscoveryOutage(t *testing.T) {
	n := startNode(t)
	const report = `PUT /announce/n1 {"accepting":"true"}`
	if got := <-n.announce.Reports; got != report {
		t.Errorf("the discovery service received report %s, want %s", got, report)
	}
	address := n.announce.Addr()
	n.announce.Close()
	served := fakes.Outcome{Kind: "served", Body: "done: page"}
	if got := n.request(t, fakes.Thrift, n.thriftAddress, "kampanjsida", "", "page"); got != served {
		t.Errorf("request during the outage has outcome %v, want %v", got, served)
	}
	again, err := fakes.NewDiscoveryService(address)
	if err != nil {
		t.Skipf("discovery service can't listen on its former port: %v", err)
	}
	defer again.Close()
	if got := <-again.Reports; got != report {
		t.Errorf("after the outage the discovery service received report %s, want %s", got, report)
	}
}

// TestProcessorDisconnect_ResultArrivesAfterReconnect closes the connection to the processor
// while a request runs. The processor reports the result over the next connection, and the
// request isn't run again.
func TestProcessorDisconnect_ResultArrivesAfterReconnect(t *testing.T) {
	n, attempt := startNodeWithRunningRequest(t)
	n.processor.Disconnect()
	if o, err := attempt.Outcome(); err != nil || o.Body != "done: gift" {
		t.Errorf("the running request has outcome %v, error %v, want body %q", o, err, "done: gift")
	}
	if runs := n.work.Runs("gift"); runs != 1 {
		t.Errorf("the request ran %d times, want 1", runs)
	}
}

// TestHealthCheck_PipelinedChecksAnsweredInOrder sends two health checks in one write.
func TestHealthCheck_PipelinedChecksAnsweredInOrder(t *testing.T) {
	n := startNode(t)
	conn := dial(t, n.thriftAddress)
	written, err := conn.Write(fakes.AppendCheck(fakes.AppendCheck(nil, 1, false), 2, true))
	must(t, written, err)
	r := bufio.NewReader(conn)
	for seq := range int32(2) {
		if reply, err := fakes.ReadReply(r); err != nil || reply.Seq != seq+1 || !reply.Healthy {
			t.Errorf("health check reply %+v, error %v, want Seq %d and Healthy", reply, err, seq+1)
		}
	}
}

// TestMalformedFrame_ClosesOnlyItsConnection checks that the server closes a connection with
// an invalid frame, and still serves other connections.
func TestMalformedFrame_ClosesOnlyItsConnection(t *testing.T) {
	n := startNode(t)
	for _, bytes := range []string{"\x7f\xff\xff\xff", "GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x04abcd"} {
		conn := dial(t, n.thriftAddress)
		written, err := conn.Write([]byte(bytes))
		must(t, written, err)
		must(t, 0, conn.SetReadDeadline(time.Now().Add(3*time.Second))) // the server must close the connection by then
		if got, err := io.ReadAll(conn); err != nil || len(got) > 0 {
			t.Errorf("after %q, read %q, error %v, want the connection closed without data", bytes, got, err)
		}
	}
	if got := n.request(t, fakes.Thrift, n.thriftAddress, "kampanjsida", "", "page"); got.Kind != "served" {
		t.Errorf("request after the malformed frames has outcome %v, want served", got)
	}
}

// TestKill_KeyedRequestsRunAtMostOnce kills the program at random moments (seeded) while keyed
// requests and their retries arrive, and restarts it with the same folder of keys. No key runs
// twice over all processes, and none is served another key's result. Without the folder, 17 of
// 40 keys ran twice in one run of this test.
func TestKill_KeyedRequestsRunAtMostOnce(t *testing.T) {
	n := startNodeWith(t, nil, "", "--keys", t.TempDir())
	n.work.Duration = 30 * time.Millisecond
	rng := rand.New(rand.NewSource(11))
	const keyCount = 40
	served := map[int]string{}
	for round := range 8 {
		if round > 0 {
			n.launch(t)
		}
		kill := time.Duration(rng.Intn(150)) * time.Millisecond
		var wg sync.WaitGroup
		var mu sync.Mutex
		for i := range 12 {
			key := rng.Intn(keyCount) // a new key, or a retry of an earlier one
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				body := fmt.Sprint("gift ", key)
				attempt, err := fakes.Thrift(n.thriftAddress, "ny-gava", fmt.Sprint("k", key), body)
				if err != nil || attempt.Send() != nil {
					return // killed already
				}
				if o, err := attempt.Outcome(); err == nil && o.Kind == "served" {
					mu.Lock()
					defer mu.Unlock()
					if o.Body != fakes.Result(body) {
						t.Errorf("key %d is served %q, want %q", key, o.Body, fakes.Result(body))
					}
					served[key] = o.Body
				}
			})
		}
		time.Sleep(kill)
		n.kill(t)
		wg.Wait()
	}
	for key := range keyCount {
		if runs := n.work.Runs(fmt.Sprint("gift ", key)); runs > 1 {
			t.Errorf("key %d ran %d times, want at most 1", key, runs)
		}
	}
	t.Logf("%d keys served over 8 processes", len(served))
}
