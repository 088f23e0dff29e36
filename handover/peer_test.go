package handover

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/logging"
	protocol "quincerail.example/quincerail/protocol/handover"
	"quincerail.example/quincerail/transport"
)

// fakeKeys has keys, which it replicates one at a time, and keeps what it is called with.
type fakeKeys struct {
	mu      sync.Mutex
	keys    []string
	applied []string
	claims  []string
	granted []string
	roles   []bool // of the peers that connected; true for a predecessor
}

func (f *fakeKeys) ConnectPeer(_ dispatch.Peer, isPredecessor bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roles = append(f.roles, isPredecessor)
	return nil
}

func (f *fakeKeys) PeerDisconnected(dispatch.Peer)           {}
func (f *fakeKeys) ApplyTrafficDisabled(dispatch.Peer, bool) {}

func (f *fakeKeys) ApplyKey(_ dispatch.Peer, key dispatch.KeyState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applied = append(f.applied, key.Key)
}

func (f *fakeKeys) ReplicateKeys(p dispatch.Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.keys) > 0 {
		p.ReplicateKey(keyState(f.keys[0], "ran"))
		f.keys = f.keys[1:]
	}
	p.EndKeyBatch(len(f.keys) == 0)
}

func (f *fakeKeys) ClaimRequested(p dispatch.Peer, key dispatch.KeyState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.claims = append(f.claims, key.Key)
	p.DecideClaim(key.RanAttemptID, true)
}

func (f *fakeKeys) ClaimDecided(_ dispatch.Peer, ranAttemptID string, granted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if granted {
		f.granted = append(f.granted, ranAttemptID)
	}
}

func keyState(key, attemptID string) dispatch.KeyState {
	now := time.Now()
	return dispatch.KeyState{
		Key: key, Class: "gift", RanAttemptID: attemptID, ArrivedAt: now, ExpiresAt: now.Add(time.Minute),
	}
}

// pipes connects endpoints without a network: what is dialled is served by serve.
func pipes(serve func(*transport.Conn)) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go serve(transport.NewConn(far))
		return near, nil
	}
}

// TestConnectReplicatesKeys: Connect returns once all keys of the predecessor have come,
// batch by batch, and from then on the predecessor has a successor and decides its claims.
func TestConnectReplicatesKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		predecessorKeys, successorKeys := &fakeKeys{keys: []string{"a", "b", "c"}}, &fakeKeys{}
		serving := NewEndpoint(predecessorKeys, "n1", logging.Discard())
		starting := NewEndpoint(successorKeys, "n1", logging.Discard())
		starting.dial = pipes(serving.serveSuccessor)
		if serving.Successor() != nil {
			t.Error("a successor before one has connected")
		}
		peer, err := starting.Connect(t.Context())
		if err != nil || peer == nil {
			t.Fatalf("Connect: %v, %v", peer, err)
		}
		if want := []string{"a", "b", "c"}; !slices.Equal(successorKeys.applied, want) {
			t.Errorf("keys %q are known, want %q", successorKeys.applied, want)
		}
		successor := serving.Successor()
		if successor == nil {
			t.Fatal("no successor though it has all keys")
		}
		peer.RequestClaim(keyState("d", "attempt"))
		synctest.Wait()
		if !slices.Equal(predecessorKeys.claims, []string{"d"}) || !slices.Equal(successorKeys.granted, []string{"attempt"}) {
			t.Errorf("claims %q, granted %q", predecessorKeys.claims, successorKeys.granted)
		}
		if !slices.Equal(predecessorKeys.roles, []bool{false}) || !slices.Equal(successorKeys.roles, []bool{true}) {
			t.Errorf("the predecessor has connected with %v, the successor with %v", predecessorKeys.roles, successorKeys.roles)
		}
		successor.Close()
		<-peer.Disconnected()
		synctest.Wait()
		if serving.Successor() != nil {
			t.Error("a successor after its connection has ended")
		}
	})
}

// TestOneSuccessor cuts off a second successor while one is connected.
func TestOneSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		serving := NewEndpoint(&fakeKeys{}, "n1", logging.Discard())
		dial := pipes(serving.serveSuccessor)
		first, err := dial(t.Context(), "", "")
		if err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		second, err := dial(t.Context(), "", "")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := second.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("the second successor reads %v, want the end", err)
		}
		if err := first.Close(); err != nil {
			t.Error(err)
		}
		synctest.Wait()
	})
}

// TestMessageOutOfTurn ends the connection of a successor that sends what only a
// predecessor may.
func TestMessageOutOfTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, message := range [][]byte{protocol.AppendClaimReply(nil, "attempt", true), protocol.AppendPart(nil, true)} {
			keys := &fakeKeys{}
			serving := NewEndpoint(keys, "n1", logging.Discard())
			conn, err := pipes(serving.serveSuccessor)(t.Context(), "", "")
			if err != nil {
				t.Fatal(err)
			}
			if _, err := conn.Write(message); err != nil {
				t.Fatal(err)
			}
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("after %q it reads %v, want the end", message, err)
			}
			if len(keys.granted) > 0 || serving.Successor() != nil {
				t.Errorf("%q was taken", message)
			}
			if err := conn.Close(); err != nil {
				t.Error(err)
			}
		}
		synctest.Wait()
	})
}

// TestSilentPredecessor: a predecessor that does not replicate its keys is given up in
// time, with an error.
func TestSilentPredecessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		starting := NewEndpoint(&fakeKeys{}, "n1", logging.Discard())
		starting.dial = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }() // it reads, and says nothing
			return near, nil
		}
		began := time.Now()
		peer, err := starting.Connect(t.Context())
		if peer != nil || !errors.Is(err, ErrKeysUnknown) {
			t.Errorf("Connect: %v, %v, want %v", peer, err, ErrKeysUnknown)
		}
		if took := time.Since(began); took != connectTimeout {
			t.Errorf("it takes %v, want %v", took, connectTimeout)
		}
		synctest.Wait()
	})
}
