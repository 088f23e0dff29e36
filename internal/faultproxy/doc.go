// Package faultproxy injects faults into the traffic between processes of a test on
// loopback. Each direction between two processes has its own proxy, which loses, delays,
// duplicates, reorders or blocks messages. The faults of each message are drawn from a
// fixed seed.
//
// A proxy ([Link]) listens on one port for TCP and UDP. On UDP the faults apply to
// datagrams. On TCP they apply to frames (a big-endian length of four bytes, followed by
// as many bytes) if the link was opened as framed. Otherwise they apply to the bytes of
// one read, which are only delayed or blocked, never lost or duplicated. The first frame
// of a connection, its handshake, is always delivered first and exactly once.
//
// A [Network] owns the links of a test. Each link owns its sockets. It has one goroutine
// that accepts connections, two for each connection, and one for datagrams; Close ends
// them.
package faultproxy
