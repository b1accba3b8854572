package member

import (
	"maps"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/wire/codec"
)

const (
	// joinInterval is the interval between syncs with the seeds until one
	// answers, and syncInterval that between later syncs.
	joinInterval = 500 * clock.Millis(1)
	syncInterval = 10 * clock.Second
	// indirectTimeout is how long to wait for the answer to a probe that was
	// sent on behalf of another host.
	indirectTimeout = 2 * clock.Second
	// leftRetention is how long a host that left stays in the membership.
	leftRetention = clock.Minute
)

// Tick sets the present time, handles timeouts, and sends the probes and syncs
// that are due. Call it several times in a probe period.
func (g *Group) Tick(now clock.Millis) {
	g.now = now
	g.updateFencedAt()
	g.expire()
	if g.now >= g.nextSyncAt {
		g.sync()
	}
	if g.now >= g.nextProbeAt {
		g.nextProbeAt = g.now + g.timing.Period
		g.probe()
	}
}

// sync exchanges the whole membership: with the seeds until the first sync has
// taken place, then with a random live host, or with the seeds if there is none.
// It repairs what gossip has missed.
func (g *Group) sync() {
	msg := Sync{From: g.self.Name, Members: g.Members(), Payload: g.piggyback.Fill(true)}
	if !g.joined {
		g.nextSyncAt = g.now + joinInterval
		for _, addr := range g.seeds {
			g.send(addr, codec.Sync, msg)
		}
		return
	}
	g.nextSyncAt = g.now + syncInterval
	if p := g.randomPeer(""); p != nil {
		g.send(p.info.Peer, codec.Sync, msg)
		return
	}
	for _, addr := range g.seeds {
		g.send(addr, codec.Sync, msg)
	}
}

// SyncSoon schedules an exchange of the whole membership.
func (g *Group) SyncSoon() { g.nextSyncAt = min(g.nextSyncAt, g.now+joinInterval) }

// expire handles the timeouts of probes and suspects, and drops hosts and
// indirect probes after their retention.
func (g *Group) expire() {
	for _, name := range slices.Sorted(maps.Keys(g.peers)) {
		p := g.peers[name]
		age := g.now - p.changedAt
		switch p.info.State {
		case Suspect:
			if age >= g.timing.SuspectFor {
				g.setState(p, Dead)
			}
		case Left, Dead:
			if p.info.State == Left && age >= leftRetention || age >= g.timing.DeadRetention {
				delete(g.peers, name)
				g.probeOrder = slices.DeleteFunc(g.probeOrder, func(n string) bool { return n == name })
			}
		default:
			g.checkProbe(p)
		}
	}
	for seq, probe := range g.indirect {
		if g.now-probe.sentAt > indirectTimeout {
			delete(g.indirect, seq)
		}
	}
}

// checkProbe handles a probe that has not been answered in time. It first asks
// other hosts to probe, and then marks the host as suspect.
func (g *Group) checkProbe(p *peer) {
	if !p.awaitsAck {
		return
	}
	waited := g.now - p.probedAt
	if waited >= g.timing.AckWait && !p.indirectSent {
		p.indirectSent = true
		for range helperCount {
			if helper := g.randomPeer(p.info.Name); helper != nil {
				g.send(helper.info.Peer, codec.PingReq, PingReq{Seq: p.seq, From: g.self.Name, Target: p.info.Name, Members: g.gossip()})
			}
		}
	}
	if waited >= 2*g.timing.AckWait {
		p.awaitsAck = false
		g.setState(p, Suspect)
	}
}

// probe pings the next host in a shuffled round-robin order, so that each host
// is probed about once in a round.
func (g *Group) probe() {
	for range g.probeOrder {
		if len(g.probeOrder) == 0 {
			return
		}
		name := g.probeOrder[0]
		g.probeOrder = append(g.probeOrder[1:], name)
		p := g.peers[name]
		if p == nil || p.info.State > Suspect || p.awaitsAck {
			continue
		}
		g.ping(p)
		// Shuffle about once per round.
		if g.rand.IntN(len(g.probeOrder)) == 0 {
			g.rand.Shuffle(len(g.probeOrder), func(i, j int) { g.probeOrder[i], g.probeOrder[j] = g.probeOrder[j], g.probeOrder[i] })
		}
		return
	}
}

func (g *Group) ping(p *peer) {
	g.seq++
	p.seq, p.probedAt, p.awaitsAck, p.indirectSent = g.seq, g.now, true, false
	g.send(p.info.Peer, codec.Ping, Ping{Seq: g.seq, From: g.self.Name, Members: g.gossip(), Payload: g.piggyback.Fill(false)})
}

// randomPeer returns a random peer that is alive, other than except, or nil.
func (g *Group) randomPeer(except string) *peer {
	var alive []*peer
	for _, name := range g.probeOrder {
		p := g.peers[name]
		if p != nil && p.info.State == Alive && name != except {
			alive = append(alive, p)
		}
	}
	if len(alive) == 0 {
		return nil
	}
	return alive[g.rand.IntN(len(alive))]
}

// HandleFrame handles a frame from another host. It reports whether the frame is
// of a kind that belongs to this package.
func (g *Group) HandleFrame(now clock.Millis, body []byte) bool {
	g.now = now
	g.updateFencedAt()
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
	case codec.MemberInfo:
		if m, err := codec.Decode[Info](body); err == nil {
			g.apply(m)
		}
	default:
		return false
	}
	return true
}

func (g *Group) onPing(m *Ping) {
	g.merge(m.From, m.Members)
	g.mergePayload(m.From, m.Payload)
	p := g.peers[m.From]
	if p == nil {
		// The sender is not in the membership. A sync exchanges the records.
		g.SyncSoon()
		return
	}
	if p.info.State == Dead {
		// Gossip the record of the host's death again, so that the host refutes it.
		g.rumors.Put(m.From, p.info)
	}
	g.send(p.info.Peer, codec.Ack, Ack{Seq: m.Seq, From: g.self.Name, Target: g.self.Name, Members: g.gossipWith(p), Payload: g.piggyback.Fill(false)})
}

// gossipWith returns the records to send to p. They include its own if it is
// suspect or dead here, so that p can refute that.
func (g *Group) gossipWith(p *peer) []Info {
	out := g.gossip()
	if p.info.State == Suspect || p.info.State == Dead {
		out = append(out, p.info)
	}
	return out
}

func (g *Group) mergePayload(from string, payload []byte) {
	if len(payload) > 0 {
		g.piggyback.Merge(from, payload)
	}
}

func (g *Group) onAck(m *Ack) {
	g.merge(m.From, m.Members)
	g.mergePayload(m.From, m.Payload)
	if probe, ok := g.indirect[m.Seq]; ok && m.Target == m.From {
		delete(g.indirect, m.Seq)
		if origin := g.peers[probe.origin]; origin != nil {
			g.send(origin.info.Peer, codec.Ack, Ack{Seq: probe.seq, From: g.self.Name, Target: m.Target, Members: g.gossip()})
		}
		return
	}
	p := g.peers[m.Target]
	if p == nil || p.seq != m.Seq {
		return
	}
	p.awaitsAck = false
	g.lastAckedSentAt = max(g.lastAckedSentAt, p.probedAt)
}

func (g *Group) onPingReq(m *PingReq) {
	g.merge(m.From, m.Members)
	target := g.peers[m.Target]
	if target == nil || g.peers[m.From] == nil {
		return
	}
	g.seq++
	g.indirect[g.seq] = indirectProbe{origin: m.From, seq: m.Seq, sentAt: g.now}
	g.send(target.info.Peer, codec.Ping, Ping{Seq: g.seq, From: g.self.Name, Members: g.gossip()})
}

func (g *Group) onSync(m *Sync, wantsReply bool) {
	g.joined = true
	g.merge(m.From, m.Members)
	g.mergePayload(m.From, m.Payload)
	p := g.peers[m.From]
	if !wantsReply || p == nil {
		return
	}
	g.send(p.info.Peer, codec.SyncReply, Sync{From: g.self.Name, Members: g.Members(), Payload: g.piggyback.Fill(true)})
}
