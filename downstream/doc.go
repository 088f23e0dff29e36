// Package downstream makes the calls to the shared dependency that runs request. [Pool] makes
// them over a pool of connections (pool.go and conn.go). [QuotaLimiter] limits them to this
// member's part of the fleet's quota (quota.go).
package downstream
