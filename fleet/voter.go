package fleet

import (
	"cmp"
	"maps"
	"time"

	"quincerail.example/quincerail/fleet/consensus"
	"quincerail.example/quincerail/fleet/rafttransport"
)

// startVoter starts the transport and the log of a voter. After an error, the caller
// must call stopVoter.
func (f *Fleet) startVoter() error {
	stateMachine, err := newStateMachine(f)
	if err != nil {
		return err
	}
	f.stateMachine = stateMachine
	ready := make(chan struct{})
	defer close(ready)
	peers := maps.Clone(f.config.Voters)
	delete(peers, f.config.Self)
	transport, err := rafttransport.Listen(rafttransport.Options{
		Fleet:  f.config.FleetName,
		Self:   f.config.Self,
		Listen: f.config.RaftAddress,
		Peers:  peers,
		Logger: f.log,
		Receive: func(message []byte) {
			<-ready
			if f.node != nil { // nil if consensus.Start failed
				f.node.Receive(message)
			}
		},
	})
	if err != nil {
		return err
	}
	f.transport = transport
	node, err := consensus.Start(consensus.Options{
		Self:               f.config.Self,
		Voters:             f.config.Voters,
		Join:               f.config.Join,
		OnMembershipChange: f.setPeers,
		ElectionTimeout:    f.config.ElectionTimeout,
		Dir:                f.config.LogDir,
		StateMachine:       f.stateMachine,
		Send:               f.transport.Send,
		Logger:             f.log,
	})
	if err != nil {
		return err
	}
	f.node = node
	return nil
}

// setPeers connects the transport to the voters of the log's membership. An address
// in this process's configuration overrides the one in the log.
func (f *Fleet) setPeers(voters []consensus.Voter) {
	peers := map[string]string{}
	for _, voter := range voters {
		peers[voter.Name] = cmp.Or(f.config.Voters[voter.Name], voter.Address)
	}
	f.transport.SetPeers(peers)
}

// resignLeases releases this process's leases, waits at most timeout until the log
// has the releases, and transfers leadership.
func (f *Fleet) resignLeases(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	f.node.RunInLoop(f.stateMachine.resign)
	for f.stateMachine.ownsAnyLease(f.self) && time.Now().Before(deadline) {
		select {
		case <-f.stateMachine.ownerChanged:
		case <-time.After(f.config.ElectionTimeout / 10):
		case <-f.node.Done():
			deadline = time.Time{}
		}
	}
	f.node.TransferLeadership()
	f.node.RunInLoop(func() [][]byte { return nil }) // returns after the loop has sent the transfer of leadership
}

// stopVoter stops the log and its transport. Those that have not started are skipped.
func (f *Fleet) stopVoter() {
	if f.node != nil {
		if err := f.node.Stop(); err != nil {
			f.log.Warn(eventVoterStopped, "error", err.Error())
		}
	}
	if f.transport != nil {
		f.transport.Close()
	}
}
