// Package faultproxy injects faults between processes of a test on loopback: each
// direction of each pair of processes has a proxy of its own, which loses, delays,
// duplicates, reorders or blocks what passes. What it does to each message is drawn
// from a fixed seed.
//
// A proxy ([Link]) listens on one port for TCP and UDP. On UDP the faults apply to
// datagrams. On TCP they apply to frames (a length of four bytes, big endian, and as
// many bytes) where the link was opened as framed; otherwise to what is read at one
// time, which is only delayed or blocked, never lost or duplicated. The first frame
// of a connection, its handshake, is always delivered first, and once.
//
// A [Network] owns the links of a test. Each link owns its sockets, with one
// goroutine that accepts, two for each connection, and one for datagrams; Close ends
// them.
package faultproxy
