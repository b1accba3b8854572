package simnet

import "monsooncleat.example/monsooncleat/internal/base/clock"

// pool sends requests at a given rate, each on an idle flow or, if there is none, on
// a new one.
type pool struct {
	sim    *simulation
	centre int
	// idle are the clients whose open flow carries no request, the one used last at
	// the end.
	idle []*client
}

// scheduleRequest schedules the next request. The arrivals are a Poisson process.
func (p *pool) scheduleRequest() {
	rate := p.sim.scenario.PooledRate / float64(p.sim.scenario.Pools) * p.sim.rateFactor()
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
	return &client{sim: p.sim, centre: p.centre, long: true, pool: p}
}

// release takes a client back after a request, unless its flow ends.
func (p *pool) release(c *client) {
	if c.flow == nil || c.flow.closed {
		return
	}
	if p.sim.rand.Float64()*p.sim.scenario.RequestsPerFlow < 1 {
		c.flow.sendPacket(closing(c.flow))
		c.flow.close()
		return
	}
	p.idle = append(p.idle, c)
}
