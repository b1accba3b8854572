package core_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/serve/tokens"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

// openFlowOfHistory is a flow that its server holds, with the token that its client received last.
type openFlowOfHistory struct {
	from     netip.AddrPort
	server   fleet.Record
	token    tokens.Token
	seq, ack uint32
}

// TestRandomClaimsEndNoOpenFlow guards against resets, wrong servers and unknown tokens on any of several hosts that hear random claims about slow servers, late or never, are frozen, or are started meanwhile.
func TestRandomClaimsEndNoOpenFlow(t *testing.T) {
	for seed := range uint64(300) {
		c := qt.New(t)
		r := rand.New(rand.NewPCG(seed, 57))
		started := clock.Millis(1000)
		if seed%2 == 0 {
			started = 0
		}
		control := fleet.New(fleet.Options{SilentAfter: 5000, ForgetAfter: 90_000, ReuseAfter: 3000, Interval: 1200})
		seqs := uint64(1)
		for n := 1; n <= 4; n++ {
			control.Apply(1, 1, record(n, "x", started), true)
		}
		listOf := func(now clock.Millis) *core.Update {
			u := &core.Update{Silence: func(id string) (bool, bool) {
				s := control.Find(id)
				return s != nil && s.Silent(), s != nil
			}}
			control.Each(func(s *fleet.Server) {
				u.Servers = append(u.Servers, core.ServerUpdate{Record: s.Record, Age: now - s.LastAnnounced(), Ended: s.Ended(), Aliases: s.Aliases(now)})
			})
			return u
		}
		newHost := func(now clock.Millis) *core.Core {
			h := newBareCore(r.Uint64())
			h.Learn(now, listOf(now))
			h.Configure(now, table(1, routeX))
			return h
		}
		hosts := []*core.Core{newHost(2), newHost(2), newHost(2)}
		var flows []*openFlowOfHistory
		for i := range 12 {
			p := syn(0)
			p.From = netip.AddrPortFrom(client.Addr(), uint16(1+i))
			a := hosts[i%3].HandlePacket(10, p, true)
			f := &openFlowOfHistory{p.From, record(int(a.Number), "x", started), a.Token, 101, r.Uint32()}
			h := data(f.token, f.ack, 0)
			h.From = f.from
			hosts[i%3].HandlePacket(15, h, true)
			flows = append(flows, f)
		}
		for now := clock.Millis(100); now < 60_000; now += clock.Millis(20 + r.IntN(300)) {
			switch n := 1 + r.IntN(3); r.IntN(12) {
			case 0:
				s := record(n, "x", started)
				if started > 0 {
					s.Started += clock.Millis(500 * (r.IntN(3) - 1))
				}
				seqs++
				s.Seq = seqs
				control.Apply(now, now, s, true)
			case 1:
				control.Leave(now, fmt.Sprint("i-", n))
			case 2:
				s := record(4+n, "x", started)
				s.Address = record(n, "x", 0).Address
				seqs++
				s.Seq = seqs
				control.Apply(now, now, s, true)
			case 3:
				control.SetEnded(now, fmt.Sprint("i-", n), r.IntN(2) == 0)
			case 4:
				hosts[r.IntN(3)] = newHost(now)
			case 5, 6:
				hosts[r.IntN(3)].Learn(now, listOf(now))
			case 7:
				control.Expire(now)
				hosts[r.IntN(3)].Tick(now)
			default:
				f := flows[r.IntN(len(flows))]
				p := data(f.token, f.ack, 50*r.IntN(2))
				p.From, p.Seq = f.from, f.seq
				a := hosts[r.IntN(3)].HandlePacket(now, p, true)
				c.Assert(a.Verdict, qt.Equals, core.Forward, qt.Commentf("seed %d at %d: %s, server %s", seed, now, a.Reason, f.server.ID))
				c.Assert(a.Server, qt.Equals, f.server.Address, qt.Commentf("seed %d at %d: %s", seed, now, a.Reason))
				c.Assert(a.Number, qt.Equals, f.server.Number, qt.Commentf("seed %d at %d: %s", seed, now, a.Reason))
				if r.IntN(3) > 0 {
					f.token = a.Token
					f.seq += uint32(p.Length)
					f.ack += uint32(r.IntN(200))
				}
			}
		}
	}
}
