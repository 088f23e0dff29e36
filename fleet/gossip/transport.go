package gossip

import (
	"log"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// maxBindAttempts is the number of attempts to bind any free port. Several may be
// needed, because a port that is free for TCP may be in use for UDP.
const maxBindAttempts = 10

// listen opens a port for UDP and TCP: any free port if port is 0.
func listen(host string, port int, logger *log.Logger) (t *memberlist.NetTransport, err error) {
	config := &memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: logger}
	for range maxBindAttempts {
		t, err = memberlist.NewNetTransport(config)
		if err == nil || port != 0 {
			break
		}
	}
	return t, err
}

// trafficCounts counts the datagrams sent and streams opened by this member, and
// their bytes, including those received on the streams.
type trafficCounts struct{ messages, bytes atomic.Int64 }

// seedTransport contacts seeds at their configured addresses and counts traffic.
type seedTransport struct {
	*memberlist.NetTransport
	seeds   map[string]string // name to address
	traffic *trafficCounts
}

// withSeedAddress replaces the address of a seed by the configured one.
func (t seedTransport) withSeedAddress(a memberlist.Address) memberlist.Address {
	if address, ok := t.seeds[a.Name]; ok {
		a.Addr = address
	}
	return a
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t seedTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	t.traffic.messages.Add(1)
	t.traffic.bytes.Add(int64(len(b)))
	return t.NetTransport.WriteToAddress(b, t.withSeedAddress(a))
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t seedTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	conn, err := t.NetTransport.DialAddressTimeout(t.withSeedAddress(a), timeout)
	if err != nil {
		return nil, err
	}
	t.traffic.messages.Add(1)
	return countingConn{conn, t.traffic}, nil
}

// countingConn counts the bytes that are read from and written to a stream.
type countingConn struct {
	net.Conn
	traffic *trafficCounts
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.bytes.Add(int64(n))
	return n, err
}
