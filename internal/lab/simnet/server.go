package simnet

import (
	"fmt"
	"net/netip"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/serve/tokens"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

// server is a backend server with few slots and a bounded queue.
type server struct {
	sim       *simulation
	centre    int
	record    fleet.Record
	coldUntil clock.Millis
	draining  bool
	crashed   bool
	// slowFactor multiplies the service times.
	slowFactor float64
	inFlight   int
	queue      []*queued
	// token is the server's token, known from its first packet, and meanRequests the
	// smoothed number of requests on it.
	token        tokens.Token
	meanRequests float64
	flows        map[*flow]bool
}

// queued is a request that waits for a slot.
type queued struct {
	flow  *flow
	token tokens.Token
}

func (sim *simulation) addServer(centre int) *server {
	sim.lastServer++
	n := sim.lastServer
	s := &server{sim: sim, centre: centre, flows: map[*flow]bool{}, slowFactor: 1}
	s.record = fleet.Record{
		ID: fmt.Sprintf("i-%x", n), Number: n, Started: clock.Millis(n), Seq: 1, Service: "x", Centre: centreName(centre),
		Slots: sim.scenario.Slots, State: fleet.Ready,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 80),
	}
	sim.serverByNumber[n] = s
	sim.servers = append(sim.servers, s)
	return s
}

// crash makes the server stop answering. Its clients get no reset.
func (s *server) crash() {
	s.crashed = true
	s.flows = map[*flow]bool{}
}

// receive handles a packet of a flow.
func (s *server) receive(p core.Packet, token tokens.Token, f *flow) {
	sim := s.sim
	s.token = token
	switch {
	case s.crashed:
	case p.Open:
		f.onAccept(s, token)
	case !s.flows[f] && f.server != s:
		sim.after(clientDelay, f.onReset)
	case p.Length > 0 && f.receivedSeq != p.Seq:
		// A retransmission has the same sequence number and is not served again.
		f.receivedSeq = p.Seq
		sim.result.Arrivals++
		s.serve(f, token)
	}
}

// serve runs a request if a slot is free. Otherwise it queues the request, or
// sheds it if the queue is full.
func (s *server) serve(f *flow, token tokens.Token) {
	sim := s.sim
	if s.inFlight >= s.record.Slots {
		if len(s.queue) >= sim.scenario.Queue {
			s.shed(f, token)
			return
		}
		q := &queued{flow: f, token: token}
		s.queue = append(s.queue, q)
		if sim.scenario.QueueTimeout > 0 {
			sim.after(sim.scenario.QueueTimeout, func() { s.expire(q) })
		}
		return
	}
	s.inFlight++
	serviceTime := clock.Millis(float64(sim.serviceTime(f.client.kind)) * s.slowFactor)
	if sim.now < s.coldUntil {
		serviceTime = clock.Millis(float64(serviceTime) * coldFactor)
	}
	sim.after(serviceTime, func() {
		s.inFlight--
		if !s.crashed && !sim.partitioned(f.client.centre, s.centre) {
			sim.after(clientDelay, func() { f.onResponse(true, token, s.draining) })
		}
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.serve(next.flow, next.token)
		}
	})
}

func (s *server) shed(f *flow, token tokens.Token) {
	s.sim.after(clientDelay, func() { f.onResponse(false, token, s.draining) })
}

// expire sheds a request that still waits.
func (s *server) expire(q *queued) {
	if i := slices.Index(s.queue, q); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		s.shed(q.flow, q.token)
	}
}
