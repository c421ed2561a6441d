package control

import "math"

// tenantQuota is a token bucket for one tenant's requests, filled at this dispatcher's part of the tenant's quota.
type tenantQuota struct {
	rate      float64 // requests/s, infinity for a tenant without a quota
	tokens    float64 // as of updatedAt
	updatedAt Seconds
}

// newTenantQuotas returns a bucket per tenant. Each dispatcher is assumed to receive an equal part of a tenant's traffic.
func newTenantQuotas(quotas []float64, dispatchers float64) []*tenantQuota {
	var buckets []*tenantQuota
	for _, quota := range quotas {
		rate := quota / dispatchers
		buckets = append(buckets, &tenantQuota{rate: rate, tokens: math.Max(1, rate)})
	}
	return buckets
}

// chargeRequest takes a token for one request of the tenant, and reports whether the request exceeds the quota.
func (q *tenantQuota) chargeRequest(now Seconds) bool {
	if q.rate == infinity {
		return false
	}
	depth := math.Max(1, q.rate) // at least one token, or rates below one per second would admit no request
	q.tokens = math.Min(depth, q.tokens+float64((now-q.updatedAt)*q.rate)) - 1
	q.updatedAt = now
	over := q.tokens < 0
	q.tokens = math.Max(0, q.tokens)
	return over
}
