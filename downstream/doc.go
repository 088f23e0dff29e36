// Package downstream makes the calls to the shared dependency that runs ask for: over a
// pool of connections ([Pool], in pool.go and conn.go), and within the member's part of the
// fleet's quota ([QuotaLimiter], in quota.go).
package downstream
