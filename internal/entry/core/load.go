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
	// askSpan is the span between two rounds of lease asks, and hurrySpan the
	// least span when requests wait.
	askSpan   = 500 * clock.Millis(1)
	hurrySpan = 50 * clock.Millis(1)
	// Callers that were refused come back after a span that grows with the
	// share of refusals, spread by half in both directions.
	minRetryAfter = 200 * clock.Millis(1)
	maxRetryAfter = 10 * clock.Second
)

// loadMeter counts what a service served and refused in the present and the
// last second.
type loadMeter struct {
	served, refused         int
	lastServed, lastRefused int
	// best is the most served in a second lately. It falls by a tenth a second.
	best int
	turn clock.Millis
}

func (m *loadMeter) roll(now clock.Millis) {
	if now-m.turn < clock.Second {
		return
	}
	m.turn = now
	m.best = max(m.best*9/10, m.served)
	m.lastServed, m.lastRefused = m.served, m.refused
	m.served, m.refused = 0, 0
}

// retryAfter returns when a refused caller should come back, so that the
// callers refused in a second return over as long as the service needs for them.
func (c *Core) retryAfter(s *service) clock.Millis {
	m := &s.load
	span := minRetryAfter
	if m.best > 0 {
		span += clock.Second * clock.Millis(m.refused+m.lastRefused) / clock.Millis(m.best)
	}
	span = min(span, maxRetryAfter)
	return span/2 + clock.Millis(c.rand.Int64N(int64(span)))
}

// askLeases asks the keepers for slots: now and then, and soon when requests
// wait for want of them.
func (c *Core) askLeases() {
	hurry := false
	for _, s := range c.order {
		s.load.roll(c.now)
		hurry = hurry || c.holder.Starved(c.now, s.spec.Name())
	}
	if c.now < c.askAt && !(hurry && c.now >= c.hurryAt) {
		return
	}
	c.askAt, c.hurryAt = c.now+askSpan, c.now+hurrySpan
	c.setLimits()
	asks := c.holder.Asks(c.now, c.keeperOf)
	for _, keeper := range slices.Sorted(maps.Keys(asks)) {
		ask := asks[keeper]
		if keeper == c.opts.Name {
			c.onLeaseGrant(c.keeper.OnAsk(c.now, ask), keeper)
			continue
		}
		c.frameTo(keeper, codec.LeaseAsk, ask)
	}
	for _, s := range c.order {
		c.drainQueue(s)
	}
}

// setLimits tells the keeper of leases which servers this host keeps, and their
// slots, of which a cold server has fewer.
func (c *Core) setLimits() {
	limits := map[string]lease.Limit{}
	for name, s := range c.services {
		if s.place == nil || s.spec.Kind() != spec.Request {
			continue
		}
		for _, b := range s.place.Backends() {
			srv := c.roster.Find(b.Name)
			if srv != nil && srv.Info().Service == name && c.keeperOf(b.Name) == c.opts.Name {
				limits[b.Name] = c.limitOf(s, srv)
			}
		}
	}
	c.keeper.SetLimits(c.now, limits)
}

func (c *Core) onLeaseAsk(ask *lease.Ask) {
	if grant := c.keeper.OnAsk(c.now, ask); grant != nil {
		grant.From = c.opts.Name
		c.frameTo(ask.From, codec.LeaseGrant, grant)
	}
}

func (c *Core) onLeaseGrant(grant *lease.Grant, from string) {
	if grant == nil {
		return
	}
	grant.From = from
	c.holder.OnGrant(grant)
	c.drainQueues()
}
