// Package downstream makes calls to the shared dependency on behalf of runs. [Pool] makes them
// over a pool of connections (pool.go and conn.go). [QuotaLimiter] keeps them within this
// member's part of the fleet's quota (quota.go).
package downstream
