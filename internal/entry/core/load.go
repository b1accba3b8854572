package core

import (
	"maps"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
	"monsooncleat.example/monsooncleat/internal/serve/lease"
	"monsooncleat.example/monsooncleat/internal/wire/codec"
)

const (
	// leaseRequestInterval is the interval between lease requests, and
	// urgentLeaseRequestInterval the shorter one while clients' requests wait
	// for slots.
	leaseRequestInterval       = 500 * clock.Millis(1)
	urgentLeaseRequestInterval = 50 * clock.Millis(1)
	// minRetryAfter and maxRetryAfter limit the mean retry delay of refused
	// clients. The actual delay is between half and one and a half times it.
	minRetryAfter = 200 * clock.Millis(1)
	maxRetryAfter = 10 * clock.Second
)

// loadMeter counts the flows and requests that a service served and refused in
// the current second and in the previous one.
type loadMeter struct {
	served, refused         int
	lastServed, lastRefused int
	// peakRate is the recent maximum served in one second. It decays by 10 %
	// per second.
	peakRate    int
	windowStart clock.Millis
}

// rollWindow starts a new window if the current one is at least a second old.
func (m *loadMeter) rollWindow(now clock.Millis) {
	if now-m.windowStart < clock.Second {
		return
	}
	m.windowStart = now
	m.peakRate = max(m.peakRate*9/10, m.served)
	m.lastServed, m.lastRefused = m.served, m.refused
	m.served, m.refused = 0, 0
}

// retryAfter returns the delay after which a refused client should retry. It
// grows with the refusals relative to peakRate, so that retries arrive no
// faster than the service can handle them, and is randomized.
func (c *Core) retryAfter(s *service) clock.Millis {
	m := &s.load
	delay := minRetryAfter
	if m.peakRate > 0 {
		delay += clock.Second * clock.Millis(m.refused+m.lastRefused) / clock.Millis(m.peakRate)
	}
	delay = min(delay, maxRetryAfter)
	return delay/2 + clock.Millis(c.rand.Int64N(int64(delay)))
}

// requestLeases requests slots from the lease keepers, periodically and earlier
// if a service lacks leases for its queued requests. It also rolls the load
// windows of the services and updates the limits of the lease keeper.
func (c *Core) requestLeases() {
	urgent := false
	for _, s := range c.sortedServices {
		s.load.rollWindow(c.now)
		urgent = urgent || c.leaseHolder.Starved(c.now, s.spec.Name())
	}
	if c.now < c.nextLeaseRequest && !(urgent && c.now >= c.nextUrgentLeaseRequest) {
		return
	}
	c.nextLeaseRequest, c.nextUrgentLeaseRequest = c.now+leaseRequestInterval, c.now+urgentLeaseRequestInterval
	c.setLeaseLimits()
	requests := c.leaseHolder.LeaseRequests(c.now, c.leaseKeeperOf)
	for _, keeper := range slices.Sorted(maps.Keys(requests)) {
		request := requests[keeper]
		if keeper == c.opts.Name {
			c.onLeaseGrant(c.leaseKeeper.OnLeaseRequest(c.now, request), keeper)
			continue
		}
		c.sendFrame(keeper, codec.LeaseRequest, request)
	}
	for _, s := range c.sortedServices {
		c.dispatchQueued(s)
	}
}

// setLeaseLimits passes the servers whose leases this host grants, and their
// slots, to the lease keeper.
func (c *Core) setLeaseLimits() {
	limits := map[string]lease.Limit{}
	for name, s := range c.services {
		if s.table == nil || s.spec.Kind() != spec.Request {
			continue
		}
		for _, b := range s.table.Backends() {
			srv := c.servers.Find(b.Name)
			if srv != nil && srv.Info().Service == name && c.leaseKeeperOf(b.Name) == c.opts.Name {
				limits[b.Name] = c.leaseLimit(s, srv)
			}
		}
	}
	c.leaseKeeper.SetLimits(c.now, limits)
}

func (c *Core) onLeaseRequest(request *lease.Request) {
	if grant := c.leaseKeeper.OnLeaseRequest(c.now, request); grant != nil {
		grant.From = c.opts.Name
		c.sendFrame(request.From, codec.LeaseGrant, grant)
	}
}

func (c *Core) onLeaseGrant(grant *lease.Grant, from string) {
	if grant == nil {
		return
	}
	grant.From = from
	c.leaseHolder.OnGrant(grant)
	c.dispatchAllQueued()
}
