package core

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/conf/tune"
	"monsooncleat.example/monsooncleat/internal/serve/admit"
	"monsooncleat.example/monsooncleat/internal/serve/spans"
)

// endMovedInterval is the least time between two passes over the requests in flight.
// Without it, the cost of an opening grows with their number.
const endMovedInterval = 10 * clock.Millis(1)

// requests lists the flows with a request in flight through this host, so that those
// whose end goes through another host are found without a pass over all flows.
type requests struct {
	first, last *flow
	refusals    *admit.Refusals[refusal]
}

func (r *requests) add(f *flow) {
	f.previous, f.next = r.last, nil
	if r.last == nil {
		r.first = f
	} else {
		r.last.next = f
	}
	r.last = f
}

func (r *requests) remove(f *flow) {
	if f.previous == nil {
		r.first = f.next
	} else {
		f.previous.next = f.next
	}
	if f.next == nil {
		r.last = f.previous
	} else {
		f.next.previous = f.previous
	}
	f.previous, f.next = nil, nil
	r.refusals.Forget()
}

// spansOf returns the measurements of a service.
func (c *Core) spansOf(service string) *spans.Service {
	s := c.spans[service]
	if s == nil {
		s = &spans.Service{}
		c.spans[service] = s
	}
	return s
}

// mayHaveMoved reports whether the flow may go on through another host: no packet of it
// has come since a flow came here from another host, which shows that routers have changed
// their choice of hosts.
func (c *Core) mayHaveMoved(f *flow) bool {
	return f.lastAt < c.movedAt && !c.options.Off.Has(tune.MovedFlows)
}

// endMovedRequests stops counting the requests of flows that may have moved, once they
// have taken as long as requests of their service usually do.
func (c *Core) endMovedRequests(now clock.Millis) {
	if c.movedAt == 0 || now-c.movedAt > requestIdleTimeout || now-c.endedMovedAt < endMovedInterval {
		return
	}
	c.endedMovedAt = now
	for f := c.requests.first; f != nil; {
		next := f.next
		if c.mayHaveMoved(f) && now-f.lastAt >= c.expectedTime(f) {
			f.endRequest()
		}
		f = next
	}
}

// expectedTime returns the time in which the request of a flow, or its opening packet, is
// answered.
func (c *Core) expectedTime(f *flow) clock.Millis {
	s := c.spansOf(f.server.record.Service)
	if !f.established {
		return s.Handshake(requestIdleTimeout)
	}
	return s.Response(requestIdleTimeout)
}

// activeTime returns how long after its last packet a long flow counts as active through
// this host.
func (c *Core) activeTime(f *flow) clock.Millis {
	if c.mayHaveMoved(f) {
		return c.spansOf(f.server.record.Service).Interval(flowActiveTimeout)
	}
	return flowActiveTimeout
}
