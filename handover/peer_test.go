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

// fakeKeys is a KeyReplicator that replicates its keys one per batch, grants every claim and
// records the calls of its methods.
type fakeKeys struct {
	mu      sync.Mutex
	keys    []string
	applied []string
	claims  []string
	granted []string
	roles   []bool // isPredecessor of each peer that connected
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

// keyState returns the state of a key that an attempt has run.
func keyState(key, attemptID string) dispatch.KeyState {
	now := time.Now()
	return dispatch.KeyState{
		Key: key, Class: "gift", RanAttemptID: attemptID, ArrivedAt: now, ExpiresAt: now.Add(time.Minute),
	}
}

// pipeDialer returns a dial function whose connections are in-memory pipes. serve serves the
// other end of each connection.
func pipeDialer(serve func(*transport.Conn)) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go serve(transport.NewConn(far))
		return near, nil
	}
}

// TestConnect_ReplicatesAllKeys checks that Connect returns after the predecessor has replicated
// all of its keys in batches, and that the predecessor then has a successor and decides its
// claims.
func TestConnect_ReplicatesAllKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		predecessorKeys, successorKeys := &fakeKeys{keys: []string{"a", "b", "c"}}, &fakeKeys{}
		serving := NewEndpoint(predecessorKeys, "n1", logging.Discard())
		starting := NewEndpoint(successorKeys, "n1", logging.Discard())
		starting.dial = pipeDialer(serving.serveSuccessor)
		if serving.Successor() != nil {
			t.Error("Successor() is not nil before a successor has connected")
		}
		peer, err := starting.Connect(t.Context())
		if err != nil || peer == nil {
			t.Fatalf("Connect() = %v, %v, want a peer", peer, err)
		}
		if want := []string{"a", "b", "c"}; !slices.Equal(successorKeys.applied, want) {
			t.Errorf("replicated keys %q, want %q", successorKeys.applied, want)
		}
		successor := serving.Successor()
		if successor == nil {
			t.Fatal("Successor() = nil after all keys were replicated")
		}
		peer.RequestClaim(keyState("d", "attempt"))
		synctest.Wait()
		if !slices.Equal(predecessorKeys.claims, []string{"d"}) || !slices.Equal(successorKeys.granted, []string{"attempt"}) {
			t.Errorf("claimed keys %q, granted attempts %q, want [\"d\"] and [\"attempt\"]", predecessorKeys.claims, successorKeys.granted)
		}
		if !slices.Equal(predecessorKeys.roles, []bool{false}) || !slices.Equal(successorKeys.roles, []bool{true}) {
			t.Errorf("isPredecessor of peers: %v in the predecessor, %v in the successor, want [false] and [true]", predecessorKeys.roles, successorKeys.roles)
		}
		successor.Close()
		<-peer.Disconnected()
		synctest.Wait()
		if serving.Successor() != nil {
			t.Error("Successor() is not nil after the successor has disconnected")
		}
	})
}

// TestServeSuccessor_AbortsSecondSuccessor checks that the connection of a second successor is
// closed while one is connected.
func TestServeSuccessor_AbortsSecondSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		serving := NewEndpoint(&fakeKeys{}, "n1", logging.Discard())
		dial := pipeDialer(serving.serveSuccessor)
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
			t.Errorf("second successor: Read error = %v, want %v", err, io.EOF)
		}
		if err := first.Close(); err != nil {
			t.Error(err)
		}
		synctest.Wait()
	})
}

// TestServeSuccessor_RejectsPredecessorMessages checks that the connection of a successor closes
// if it sends a message that only a predecessor may send.
func TestServeSuccessor_RejectsPredecessorMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, message := range [][]byte{protocol.AppendClaimReply(nil, "attempt", true), protocol.AppendBatchEnd(nil, true)} {
			keys := &fakeKeys{}
			serving := NewEndpoint(keys, "n1", logging.Discard())
			conn, err := pipeDialer(serving.serveSuccessor)(t.Context(), "", "")
			if err != nil {
				t.Fatal(err)
			}
			if _, err := conn.Write(message); err != nil {
				t.Fatal(err)
			}
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("after message %q: Read error = %v, want %v", message, err, io.EOF)
			}
			if len(keys.granted) > 0 || serving.Successor() != nil {
				t.Errorf("message %q from a successor was applied", message)
			}
			if err := conn.Close(); err != nil {
				t.Error(err)
			}
		}
		synctest.Wait()
	})
}

// TestConnect_FailsIfPredecessorSendsNothing checks that Connect returns ErrKeysUnknown after
// connectTimeout if the predecessor does not replicate its keys.
func TestConnect_FailsIfPredecessorSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		starting := NewEndpoint(&fakeKeys{}, "n1", logging.Discard())
		starting.dial = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }() // reads and sends nothing
			return near, nil
		}
		startedAt := time.Now()
		peer, err := starting.Connect(t.Context())
		if peer != nil || !errors.Is(err, ErrKeysUnknown) {
			t.Errorf("Connect() = %v, %v, want nil, %v", peer, err, ErrKeysUnknown)
		}
		if took := time.Since(startedAt); took != connectTimeout {
			t.Errorf("Connect returned after %v, want %v", took, connectTimeout)
		}
		synctest.Wait()
	})
}
