package member

import (
	"maps"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/wire/codec"
)

const (
	joinSpan = 500 * clock.Millis(1)
	syncSpan = 10 * clock.Second
	// relayFor is how long a probe made for another host is remembered.
	relayFor = 2 * clock.Second
	// forgetLeft is how long a host that left is remembered.
	forgetLeft = clock.Minute
)

// Tick tells the time. Call it several times in a probe period.
func (g *Group) Tick(now clock.Millis) {
	g.now = now
	g.noteCutOff()
	g.expire()
	if g.now >= g.syncAt {
		g.sync()
	}
	if g.now >= g.probeAt {
		g.probeAt = g.now + g.timing.Period
		g.probe()
	}
}

// sync exchanges the whole view: with the seeds until one answers, then now
// and then with one host, which repairs what gossip lost.
func (g *Group) sync() {
	msg := Sync{From: g.self.Name, Members: g.Members(), Load: g.load.Fill(true)}
	if !g.joined {
		g.syncAt = g.now + joinSpan
		for _, addr := range g.seeds {
			g.send(addr, codec.Sync, msg)
		}
		return
	}
	g.syncAt = g.now + syncSpan
	if p := g.randomPeer(""); p != nil {
		g.send(p.info.Peer, codec.Sync, msg)
		return
	}
	for _, addr := range g.seeds {
		g.send(addr, codec.Sync, msg)
	}
}

// SyncSoon makes the next tick exchange the whole view.
func (g *Group) SyncSoon() { g.syncAt = min(g.syncAt, g.now+joinSpan) }

func (g *Group) expire() {
	for _, name := range slices.Sorted(maps.Keys(g.peers)) {
		p := g.peers[name]
		age := g.now - p.changedAt
		switch p.info.State {
		case Suspect:
			if age >= g.timing.SuspectFor {
				g.mark(p, Dead)
			}
		case Left, Dead:
			if p.info.State == Left && age >= forgetLeft || age >= g.timing.Remember {
				delete(g.peers, name)
				g.order = slices.DeleteFunc(g.order, func(o string) bool { return o == name })
			}
		default:
			g.checkProbe(p)
		}
	}
	for seq, r := range g.relays {
		if g.now-r.at > relayFor {
			delete(g.relays, seq)
		}
	}
}

// checkProbe moves on a probe that has not been answered: first other hosts
// are asked to try, then the host is suspected.
func (g *Group) checkProbe(p *peer) {
	if !p.waiting {
		return
	}
	waited := g.now - p.probedAt
	if waited >= g.timing.AckWait && !p.asked {
		p.asked = true
		for range indirect {
			if helper := g.randomPeer(p.info.Name); helper != nil {
				g.send(helper.info.Peer, codec.PingReq, PingReq{Seq: p.seq, From: g.self.Name, Target: p.info.Name, Members: g.gossip()})
			}
		}
	}
	if waited >= 2*g.timing.AckWait {
		p.waiting = false
		g.mark(p, Suspect)
	}
}

// probe pings the next host of a shuffled round, so that each host is probed
// once in a round.
func (g *Group) probe() {
	for range g.order {
		if len(g.order) == 0 {
			return
		}
		name := g.order[0]
		g.order = append(g.order[1:], name)
		p := g.peers[name]
		if p == nil || p.info.State > Suspect || p.waiting {
			continue
		}
		g.ping(p)
		if g.rand.IntN(len(g.order)) == 0 {
			g.rand.Shuffle(len(g.order), func(i, j int) { g.order[i], g.order[j] = g.order[j], g.order[i] })
		}
		return
	}
}

func (g *Group) ping(p *peer) {
	g.seq++
	p.seq, p.probedAt, p.waiting, p.asked = g.seq, g.now, true, false
	g.send(p.info.Peer, codec.Ping, Ping{Seq: g.seq, From: g.self.Name, Members: g.gossip(), Load: g.load.Fill(false)})
}

func (g *Group) randomPeer(except string) *peer {
	var usable []*peer
	for _, name := range g.order {
		p := g.peers[name]
		if p != nil && p.info.State == Alive && name != except {
			usable = append(usable, p)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[g.rand.IntN(len(usable))]
}

// Frame takes a frame from another host. It reports whether the frame was one
// of this package.
func (g *Group) Frame(now clock.Millis, body []byte) bool {
	g.now = now
	g.noteCutOff()
	switch codec.KindOf(body) {
	case codec.Ping:
		if m, err := codec.Decode[Ping](body); err == nil {
			g.onPing(m)
		}
	case codec.Ack:
		if m, err := codec.Decode[Ack](body); err == nil {
			g.onAck(m)
		}
	case codec.PingReq:
		if m, err := codec.Decode[PingReq](body); err == nil {
			g.onPingReq(m)
		}
	case codec.Sync, codec.SyncReply:
		if m, err := codec.Decode[Sync](body); err == nil {
			g.onSync(m, codec.KindOf(body) == codec.Sync)
		}
	case codec.Tell:
		if m, err := codec.Decode[Info](body); err == nil {
			g.learn(m)
		}
	default:
		return false
	}
	return true
}

func (g *Group) onPing(m *Ping) {
	g.merge(m.From, m.Members)
	g.mergeLoad(m.From, m.Load)
	p := g.peers[m.From]
	if p == nil {
		// A host that is not known asks for the whole view, and so do we.
		g.SyncSoon()
		return
	}
	if p.info.State == Dead {
		// The host learns that it was declared dead, and denies it.
		g.rumors.Put(m.From, p.info)
	}
	g.send(p.info.Peer, codec.Ack, Ack{Seq: m.Seq, From: g.self.Name, Target: g.self.Name, Members: g.withState(p), Load: g.load.Fill(false)})
}

// withState returns gossip that includes what this host holds of p when that
// is not good news, so that p can deny it.
func (g *Group) withState(p *peer) []Info {
	out := g.gossip()
	if p.info.State == Suspect || p.info.State == Dead {
		out = append(out, p.info)
	}
	return out
}

func (g *Group) mergeLoad(from string, load []byte) {
	if len(load) > 0 {
		g.load.Merge(from, load)
	}
}

func (g *Group) onAck(m *Ack) {
	g.merge(m.From, m.Members)
	g.mergeLoad(m.From, m.Load)
	if r, ok := g.relays[m.Seq]; ok && m.Target == m.From {
		delete(g.relays, m.Seq)
		if origin := g.peers[r.origin]; origin != nil {
			g.send(origin.info.Peer, codec.Ack, Ack{Seq: r.seq, From: g.self.Name, Target: m.Target, Members: g.gossip()})
		}
		return
	}
	p := g.peers[m.Target]
	if p == nil || p.seq != m.Seq {
		return
	}
	p.waiting = false
	g.heardAt = max(g.heardAt, p.probedAt)
}

func (g *Group) onPingReq(m *PingReq) {
	g.merge(m.From, m.Members)
	target := g.peers[m.Target]
	if target == nil || g.peers[m.From] == nil {
		return
	}
	g.seq++
	g.relays[g.seq] = relayed{origin: m.From, seq: m.Seq, at: g.now}
	g.send(target.info.Peer, codec.Ping, Ping{Seq: g.seq, From: g.self.Name, Members: g.gossip()})
}

func (g *Group) onSync(m *Sync, reply bool) {
	g.joined = true
	g.merge(m.From, m.Members)
	g.mergeLoad(m.From, m.Load)
	p := g.peers[m.From]
	if !reply || p == nil {
		return
	}
	g.send(p.info.Peer, codec.SyncReply, Sync{From: g.self.Name, Members: g.Members(), Load: g.load.Fill(true)})
}
