package simnet

import (
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// pool sends requests at a given rate, each on an idle flow or, if there is none, on
// a new one.
type pool struct {
	sim    *simulation
	centre int
	// rate is the usual number of requests per second, burst the factor on it during the
	// burst. A flow ends after requestsPerFlow requests on average.
	rate, burst, requestsPerFlow float64
	// kind and route are those of the requests in a scenario with kinds.
	kind  *Kind
	route netip.AddrPort
	// idle are the clients whose open flow carries no request, the one used last at
	// the end.
	idle []*client
}

// scheduleRequest schedules the next request. The arrivals are a Poisson process.
func (p *pool) scheduleRequest() {
	rate := p.rate
	if p.sim.inBurst(p.sim.now) {
		rate *= p.burst
	}
	p.sim.after(clock.Millis(p.sim.rand.ExpFloat64()*float64(clock.Second)/rate), func() {
		p.take().startRequest()
		p.scheduleRequest()
	})
}

func (p *pool) take() *client {
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c
	}
	return &client{sim: p.sim, centre: p.centre, long: true, pool: p, kind: p.kind, route: p.route}
}

// release takes a client back after a request, unless its flow ends.
func (p *pool) release(c *client) {
	if c.flow == nil || c.flow.closed {
		return
	}
	if p.sim.rand.Float64()*p.requestsPerFlow < 1 {
		c.flow.sendPacket(closing(c.flow))
		c.flow.close()
		return
	}
	p.idle = append(p.idle, c)
}
