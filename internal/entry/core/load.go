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
)

// retryAfter returns the delay after which a refused client of s should retry.
func (c *Core) retryAfter(s *service) clock.Millis { return s.load.RetryAfter(c.rand) }

// requestLeases requests slots from the lease keepers, periodically and earlier
// if a service lacks leases for its queued requests. It also rolls the load
// windows of the services and updates the limits of the lease keeper.
func (c *Core) requestLeases() {
	urgent := false
	for _, s := range c.sortedServices {
		s.load.Roll(c.now)
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
		if s.places.Current() == nil || s.spec.Kind() != spec.Request {
			continue
		}
		for _, server := range s.places.Current().Names() {
			srv := c.servers.Find(server)
			if srv != nil && srv.Info().Service == name && c.leaseKeeperOf(server) == c.opts.Name {
				limits[server] = c.leaseLimit(s, srv)
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
