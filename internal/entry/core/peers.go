package core

import (
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/chain"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
	"monsooncleat.example/monsooncleat/internal/ctrl/msgs"
	"monsooncleat.example/monsooncleat/internal/host/homes"
	"monsooncleat.example/monsooncleat/internal/host/member"
	"monsooncleat.example/monsooncleat/internal/serve/lease"
	"monsooncleat.example/monsooncleat/internal/serve/roster"
	"monsooncleat.example/monsooncleat/internal/wire/codec"
)

const (
	// maxServers is the most server updates in one probe.
	maxServers = 12
	// differSpan is how long lists may differ before they are exchanged whole.
	differSpan = 3 * clock.Second
	// pollSpan is the span between two polls of the host that fetches for its
	// data centre, and sparePollSpan that of the others.
	pollSpan      = 500 * clock.Millis(1)
	sparePollSpan = 30 * clock.Second
	pollWait      = 1500 * clock.Millis(1)
	pullSpan      = 300 * clock.Millis(1)
)

// peerNews is what another entry host last said of itself.
type peerNews struct {
	seq     uint64
	inForce spec.Version
}

// news travels with the probes of the membership.
type news struct {
	Servers []roster.Info
	Roster  uint64
	Seq     uint64
	InForce spec.Version
}

// gossip is the Core as the membership sees it.
type gossip Core

// Fill implements member.Piggyback.
func (g *gossip) Fill(whole bool) []byte {
	c := (*Core)(g)
	n := news{Roster: c.roster.Digest(), Seq: c.holderOf.Position().Seq, InForce: c.inForce()}
	if whole {
		n.Servers = c.roster.All()
	} else {
		n.Servers = c.roster.Take(maxServers, len(c.group.Members()))
	}
	return codec.Encode(codec.Sync, n)
}

// Merge implements member.Piggyback.
func (g *gossip) Merge(from string, load []byte) {
	c := (*Core)(g)
	n, err := codec.Decode[news](load)
	if err != nil {
		c.counters.Add(Malformed, 1)
		return
	}
	c.roster.Merge(c.now, n.Servers)
	c.peers[from] = &peerNews{seq: n.Seq, inForce: n.InForce}
	if n.Seq > c.holderOf.Position().Seq {
		c.pull(from)
	}
	c.compareRoster(n.Roster)
}

// compareRoster has the lists exchanged whole when they stay different.
func (c *Core) compareRoster(digest uint64) {
	if digest == c.roster.Digest() {
		c.differsAt = 0
		return
	}
	if c.differsAt == 0 {
		c.differsAt = c.now
	}
	if c.now-c.differsAt > differSpan {
		c.differsAt = c.now
		c.group.SyncSoon()
	}
}

// Frame takes a frame from another entry host or from a control host.
func (c *Core) Frame(now clock.Millis, body []byte) {
	c.now = now
	if c.group.Frame(now, body) {
		c.lookAround()
		return
	}
	switch codec.KindOf(body) {
	case codec.Exceptions:
		handle(c, body, c.onCopies)
	case codec.LeaseAsk:
		handle(c, body, c.onLeaseAsk)
	case codec.LeaseGrant:
		handle(c, body, func(m *lease.Grant) { c.onLeaseGrant(m, m.From) })
	case codec.LeaseTransfer:
		handle(c, body, func(m *lease.Transfer) { c.keeper.Import(c.now, m) })
	case codec.Pull:
		handle(c, body, c.onPull)
	case codec.PullReply:
		handle(c, body, c.onUpdate)
	case codec.PollReply:
		handle(c, body, c.onPollReply)
	case codec.Applied:
		handle(c, body, c.onApplied)
	default:
		c.counters.Add(Malformed, 1)
	}
}

func handle[T any](c *Core, body []byte, f func(*T)) {
	m, err := codec.Decode[T](body)
	if err != nil {
		c.counters.Add(Malformed, 1)
		return
	}
	f(m)
}

// pull is a question for the releases that an entry host lacks.
type pull struct {
	From     string
	Position chain.Position
}

// applied tells the fetching host what is in force on another one.
type applied struct {
	From    string
	Seq     uint64
	InForce spec.Version
}

func (c *Core) pull(from string) {
	if c.now < c.pullAt {
		return
	}
	c.pullAt = c.now + pullSpan
	c.frameTo(from, codec.Pull, pull{From: c.opts.Name, Position: c.holderOf.Position()})
}

// pullFromPeers asks a host that is known to be ahead, or any.
func (c *Core) pullFromPeers() {
	for _, m := range c.group.Members() {
		if n := c.peers[m.Name]; m.Name != c.opts.Name && (n == nil || n.seq > c.holderOf.Position().Seq) {
			c.pull(m.Name)
			return
		}
	}
}

func (c *Core) onPull(m *pull) {
	if u := chain.MakeUpdate(m.Position, c.holderOf.Releases(), c.holderOf); u != nil {
		c.frameTo(m.From, codec.PullReply, u)
	}
}

// onUpdate puts a newer release in force. Anything older is refused.
func (c *Core) onUpdate(u *chain.Update) {
	old := c.holderOf.Bundle()
	if err := c.holderOf.Accept(u); err != nil {
		c.counters.Add(ReleasesRefused, 1)
		return
	}
	c.counters.Add(ReleasesAccepted, 1)
	c.inForceAt = c.now
	c.out.Release = c.holderOf.Whole()
	c.install(c.holderOf.Bundle(), old)
	c.startServing()
	c.lookAround()
	if f := c.fetcher(); f != "" && f != c.opts.Name {
		c.frameTo(f, codec.Applied, applied{c.opts.Name, c.holderOf.Position().Seq, c.inForce()})
	}
	c.control.pollAt = min(c.control.pollAt, c.now+pullSpan)
}

func (c *Core) onApplied(m *applied) {
	c.peers[m.From] = &peerNews{seq: m.Seq, inForce: m.InForce}
}

// Restore puts the release in force that the host had stored.
func (c *Core) Restore(u *chain.Update) error {
	if err := c.holderOf.Accept(u); err != nil {
		return err
	}
	c.install(c.holderOf.Bundle(), nil)
	c.lookAround()
	return nil
}

func (c *Core) inForce() spec.Version {
	if b := c.holderOf.Bundle(); b != nil {
		return b.Version()
	}
	return 0
}

// fetcher returns the host that polls the control hosts for its data centre.
func (c *Core) fetcher() string {
	return c.homes.Home(homes.Bucket(serverHash("release")))
}

// controlLink is the polling of the control hosts.
type controlLink struct {
	addresses []string
	at        int
	pollAt    clock.Millis
	sentAt    clock.Millis
	waiting   bool
	heardAt   clock.Millis
}

func (l *controlLink) init(addresses []string) { l.addresses = addresses }

// pollControl asks a control host for news. One host of the data centre does so
// often and reports for all; the others only now and then, in case that it
// cannot reach any control host. A host without a bundle asks like the first.
func (c *Core) pollControl() {
	l := &c.control
	if len(l.addresses) == 0 {
		return
	}
	if l.waiting && c.now-l.sentAt > pollWait {
		l.waiting = false
		l.at = (l.at + 1) % len(l.addresses)
		l.pollAt = c.now
	}
	if c.now < l.pollAt || l.waiting {
		return
	}
	fetches := c.fetcher() == c.opts.Name
	l.pollAt = c.now + sparePollSpan/2 + clock.Millis(c.rand.Int64N(int64(sparePollSpan)))
	if fetches || c.inForce() == 0 {
		l.pollAt = c.now + pollSpan
	}
	l.waiting, l.sentAt = true, c.now
	poll := msgs.Poll{Position: c.holderOf.Position()}
	if fetches {
		poll.Report = c.report()
	}
	c.out.Frames = append(c.out.Frames, Frame{l.addresses[l.at], codec.Encode(codec.Poll, poll)})
}

// report sums up how the entry hosts of the data centre do.
func (c *Core) report() msgs.Report {
	r := msgs.Report{Centre: c.opts.Centre, InForce: c.inForce(), Healthy: true}
	for _, m := range c.group.Members() {
		if m.State != member.Alive {
			continue
		}
		r.Hosts++
		if m.Name == c.opts.Name {
			continue
		}
		if n := c.peers[m.Name]; n == nil {
			r.InForce = 0
		} else {
			r.InForce = min(r.InForce, n.inForce)
		}
	}
	r.Healthy, r.Reason = c.health()
	return r
}

// health judges the bundle in force by what this host sees of its services.
func (c *Core) health() (healthy bool, reason string) {
	for name, s := range c.services {
		served, refused := s.load.served+s.load.lastServed, s.load.refused+s.load.lastRefused
		if len(s.ids) == 0 && refused >= minJudged {
			return false, name + " has no server"
		}
		if refused >= minJudged && refused > served && c.now-c.inForceAt < judgeSpan {
			return false, name + " refuses most of its work"
		}
	}
	return true, ""
}

const (
	// minJudged is how many refusals in two seconds make a host judge a
	// service unhealthy, within judgeSpan after a new bundle came in force.
	minJudged = 50
	judgeSpan = clock.Minute
)

func (c *Core) onPollReply(m *msgs.PollReply) {
	l := &c.control
	l.waiting = false
	if !m.Current {
		l.at = (l.at + 1) % len(l.addresses)
		l.pollAt = min(l.pollAt, c.now+pullSpan)
		return
	}
	l.heardAt = c.now
	if i := slices.Index(l.addresses, m.Leader); i >= 0 {
		l.at = i
	}
	if m.Update != nil {
		c.onUpdate(m.Update)
	}
}

var _ member.Piggyback = (*gossip)(nil)
