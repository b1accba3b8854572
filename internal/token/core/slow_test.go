package core_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

// slowPlay is a host with an open flow of a server that takes 0.7 s for an answer. The other
// servers answer at once.
type slowPlay struct {
	*qt.C
	h        *core.Core
	first    core.Action
	seq, ack map[netip.AddrPort]uint32
	port     uint16
	timeouts int
}

func newSlowPlay(c *qt.C) *slowPlay {
	p := &slowPlay{C: c, h: newStartedCore(1), seq: map[netip.AddrPort]uint32{}, ack: map[netip.AddrPort]uint32{}, port: 2000}
	p.first, _ = openFlow(c, p.h)
	p.answer(20, client)
	return p
}

// transmit sends a packet of a flow, which must go to the slow server.
func (p *slowPlay) transmit(at clock.Millis, from netip.AddrPort, length int) {
	d := data(p.first.Token, 9000+p.ack[from], length)
	d.From, d.Seq = from, d.Seq+p.seq[from]
	a := p.h.HandlePacket(at, d, true)
	p.Assert(a.Verdict, qt.Equals, core.Forward, qt.Commentf("at %d: %s", at, a.Reason))
	p.Assert(a.Number, qt.Equals, p.first.Number, qt.Commentf("at %d: %s", at, a.Reason))
}

// request sends a request, or repeats it.
func (p *slowPlay) request(at clock.Millis, from netip.AddrPort) { p.transmit(at, from, 50) }

func (p *slowPlay) answer(at clock.Millis, from netip.AddrPort) {
	p.seq[from] += 50
	p.ack[from] += 100
	p.transmit(at, from, 0)
}

// open opens a flow and returns the number of its server. Another server than the slow one
// answers, and the client closes the flow.
func (p *slowPlay) open(at clock.Millis) (uint64, *core.Packet) {
	p.port++
	o := opening(p.port)
	a := p.h.HandlePacket(at, o, true)
	p.Assert(a.Verdict, qt.Equals, core.Forward, qt.Commentf("at %d: %s", at, a.Reason))
	if a.Number != p.first.Number {
		end := data(a.Token, 5000, 0)
		end.From, end.Close = o.From, true
		p.h.HandlePacket(at+2, end, true)
	}
	return a.Number, o
}

// openUntilSlow opens flows every 10 ms until one goes to the slow server.
func (p *slowPlay) openUntilSlow(at, end clock.Millis) (found bool, when clock.Millis, packet *core.Packet) {
	for ; at < end; at += 10 {
		p.tick(at)
		if n, o := p.open(at); n == p.first.Number {
			return true, at, o
		}
	}
	return false, end, nil
}

func (p *slowPlay) tick(at clock.Millis) { p.timeouts += len(p.h.Tick(at)) }

// TestSlowServerKeepsItsFlowsAndGetsNewOnes guards against decisions that take a server that is slow for one that is gone: resets, open flows
// at other servers, and no new flows after an answer.
func TestSlowServerKeepsItsFlowsAndGetsNewOnes(t *testing.T) {
	for _, test := range []struct {
		name string
		// play returns when the host could last see the server answer, or when the decision was taken.
		play func(p *slowPlay) clock.Millis
		// avoided, moved and timeouts are the decisions that are taken.
		avoided, moved uint64
		timeouts       int
		// within is how soon the server gets a new flow.
		within clock.Millis
	}{
		{"a repeated request", func(p *slowPlay) clock.Millis {
			p.request(1000, client)
			p.request(1200, client)
			found, at, _ := p.openUntilSlow(1210, 1690)
			p.Check(found, qt.IsFalse, qt.Commentf("new flow at %d", at))
			p.answer(1700, client)
			return 1700
		}, 1, 0, 0, 100},
		{"repeated requests of two flows", func(p *slowPlay) clock.Millis {
			p.answer(30, otherClient)
			p.request(1000, client)
			p.request(1100, otherClient)
			p.request(1200, client)
			p.request(1300, otherClient)
			p.answer(1700, client)
			p.answer(1800, otherClient)
			return 1800
		}, 1, 0, 0, 100},
		{"a request beside an answer of another flow", func(p *slowPlay) clock.Millis {
			p.answer(30, otherClient)
			p.request(800, otherClient)
			p.request(1320, client)
			p.answer(1500, otherClient)
			p.request(1520, client)
			p.answer(2020, client)
			return 2020
		}, 0, 0, 0, 100},
		{"requests of five flows, one after the other", func(p *slowPlay) clock.Millis {
			for n := range clock.Millis(5) {
				at, from := 1000+1000*n, netip.AddrPortFrom(otherClient.Addr(), uint16(10+n))
				p.answer(at-100, from)
				p.request(at, from)
				p.request(at+200, from)
				p.tick(at + 500)
				p.answer(at+700, from)
			}
			return 5700
		}, 5, 0, 0, 100},
		{"a copy of an opening", func(p *slowPlay) clock.Millis {
			found, at, o := p.openUntilSlow(1000, 1500)
			p.Assert(found, qt.IsTrue)
			o.Ack = 1
			p.Check(p.h.HandlePacket(at+200, o, true).Number, qt.Equals, p.first.Number)
			o.Ack = 2
			a := p.h.HandlePacket(at+600, o, true)
			p.Check(a.Reason, qt.Equals, core.MovedFlow)
			end := data(a.Token, 5000, 0)
			end.From, end.Close = o.From, true
			p.h.HandlePacket(at+602, end, true)
			return at + 600
		}, 1, 1, 0, 900},
		{"a copy of an opening beside an answer of another flow", func(p *slowPlay) clock.Millis {
			found, at, o := p.openUntilSlow(1000, 1500)
			p.Assert(found, qt.IsTrue)
			p.request(at+10, client)
			p.answer(at+150, client)
			o.Ack = 1
			a := p.h.HandlePacket(at+200, o, true)
			p.Check(a.Number, qt.Equals, p.first.Number)
			answered := data(a.Token, 7000, 0)
			answered.From, answered.Close = o.From, true
			p.h.HandlePacket(at+700, answered, true)
			return at + 700
		}, 0, 0, 0, 100},
		{"a request in the time limit of those without packets", func(p *slowPlay) clock.Millis {
			p.request(1000, client)
			// The host looks for requests to give up at the first tick, and 500 ms later.
			p.tick(1150)
			p.request(1200, client)
			p.tick(1690)
			p.answer(1700, client)
			return 1700
		}, 1, 0, 0, 100},
		{"a request of 1.9 s, which is given up", func(p *slowPlay) clock.Millis {
			p.request(1000, client)
			p.request(1200, client)
			for at := clock.Millis(1210); at < 2900; at += 100 {
				p.tick(at)
			}
			p.answer(2900, client)
			return 2900
		}, 1, 0, 1, 100},
		{"a request when another flow has moved to this host", func(p *slowPlay) clock.Millis {
			p.request(1000, client)
			p.answer(1010, otherClient)
			p.tick(1150)
			p.request(1200, client)
			found, _, o := p.openUntilSlow(1210, 1310)
			p.Assert(found, qt.IsTrue)
			end := data(p.first.Token, 7000, 0)
			end.From, end.Close = o.From, true
			p.h.HandlePacket(1320, end, true)
			p.answer(1700, client)
			return 1700
		}, 0, 0, 0, 100},
		{"a report of load by another host", func(p *slowPlay) clock.Millis {
			load := func(inFlight float32) *core.Update {
				return &core.Update{Loads: choose.Loads{uint32(p.first.Token): {InFlight: inFlight}}}
			}
			p.h.Learn(1000, load(1))
			found, at, _ := p.openUntilSlow(1010, 1690)
			p.Check(found, qt.IsFalse, qt.Commentf("new flow at %d", at))
			p.h.Learn(1700, load(0))
			return 1700
		}, 0, 0, 0, 100},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newSlowPlay(qt.New(t))
			answeredAt := test.play(p)
			p.Check(p.h.Stats().Avoided, qt.Equals, test.avoided)
			p.Check(p.h.Stats().Moved, qt.Equals, test.moved)
			p.Check(p.timeouts, qt.Equals, test.timeouts)
			found, at, _ := p.openUntilSlow(answeredAt, answeredAt+5000)
			p.Check(found, qt.IsTrue)
			p.Check(at-answeredAt <= test.within, qt.IsTrue, qt.Commentf("next flow %d ms after the answer", at-answeredAt))
			p.transmit(answeredAt+6000, client, 50)
		})
	}
}
