// Package downstream makes calls to the shared dependency when runs request them. [Pool] makes
// them over a pool of connections (pool.go and conn.go). [QuotaLimiter] limits them to this
// member's part of the fleet's quota (quota.go).
package downstream
