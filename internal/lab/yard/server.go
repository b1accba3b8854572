package yard

import (
	"fmt"
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/token/core"
	"monsooncleat.example/monsooncleat/internal/token/mint"
)

// server is a backend server with few slots and a short queue.
type server struct {
	yard     *yard
	centre   int
	record   fleet.Record
	warmEnd  clock.Millis
	draining bool
	dead     bool
	busy     int
	waiting  []func()
	flows    map[*flow]bool
}

func (y *yard) addServer(centre int) *server {
	y.number++
	n := y.number
	s := &server{yard: y, centre: centre, flows: map[*flow]bool{}}
	s.record = fleet.Record{
		ID: fmt.Sprintf("i-%x", n), Number: n, Started: clock.Millis(n), Seq: 1, Service: "x", Centre: centreName(centre),
		Slots: y.load.Slots, State: fleet.Ready,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 80),
	}
	y.servers[n] = s
	y.order = append(y.order, s)
	return s
}

func (s *server) crash() {
	s.dead = true
	s.flows = map[*flow]bool{}
}

// receive takes a packet of a flow.
func (s *server) receive(p core.Packet, token mint.Token, f *flow) {
	y := s.yard
	switch {
	case s.dead:
	case p.Open:
		f.answer(s, token)
	case !s.flows[f] && f.server != s:
		y.after(callerWay, f.reset)
	case p.Length > 0 && f.pending != p.Seq:
		// A request sent again is the same request.
		f.pending = p.Seq
		s.serve(f, token)
	}
}

// serve works on a request, keeps it waiting, or sheds it.
func (s *server) serve(f *flow, token mint.Token) {
	y := s.yard
	if s.busy >= s.record.Slots {
		if len(s.waiting) >= y.load.Queue {
			y.after(callerWay, func() { f.done(false, token, s.draining) })
			return
		}
		s.waiting = append(s.waiting, func() { s.serve(f, token) })
		return
	}
	s.busy++
	work := y.work()
	if y.now < s.warmEnd {
		work = clock.Millis(float64(work) * coldFactor)
	}
	y.after(work, func() {
		s.busy--
		if !s.dead && !y.cut(f.caller.centre, s.centre) {
			y.after(callerWay, func() { f.done(true, token, s.draining) })
		}
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			next()
		}
	})
}
