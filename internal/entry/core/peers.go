package core

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/chain"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
	"monsooncleat.example/monsooncleat/internal/ctrl/msgs"
	"monsooncleat.example/monsooncleat/internal/entry/count"
	"monsooncleat.example/monsooncleat/internal/host/homes"
	"monsooncleat.example/monsooncleat/internal/host/member"
	"monsooncleat.example/monsooncleat/internal/serve/lease"
	"monsooncleat.example/monsooncleat/internal/serve/roster"
	"monsooncleat.example/monsooncleat/internal/wire/codec"
)

const (
	// maxServerUpdates is the maximum number of server updates in one probe.
	maxServerUpdates = 12
	// fullSyncDelay is how long the server lists of two hosts may differ before
	// a full sync.
	fullSyncDelay = 3 * clock.Second
	// pullInterval is the minimum interval between pulls from other entry hosts.
	pullInterval = 300 * clock.Millis(1)
)

// peerStatus is the release state that another entry host last reported.
type peerStatus struct {
	releaseSeq    uint64
	activeVersion spec.Version
}

// gossipPayload is the data that membership probes carry.
type gossipPayload struct {
	Servers       []roster.Info
	ServersDigest uint64
	ReleaseSeq    uint64
	ActiveVersion spec.Version
}

// gossip implements member.Piggyback, to keep its methods out of Core's API.
type gossip Core

// Fill implements member.Piggyback.
func (g *gossip) Fill(full bool) []byte {
	c := (*Core)(g)
	payload := gossipPayload{ServersDigest: c.servers.Digest(), ReleaseSeq: c.releases.Position().Seq, ActiveVersion: c.activeVersion()}
	if full {
		payload.Servers = c.servers.All()
	} else {
		payload.Servers = c.servers.TakeUpdates(maxServerUpdates, len(c.group.Members()))
	}
	return codec.Encode(codec.Sync, payload)
}

// Merge implements member.Piggyback.
func (g *gossip) Merge(from string, data []byte) {
	c := (*Core)(g)
	payload, err := codec.Decode[gossipPayload](data)
	if err != nil {
		c.counters.Add(count.Malformed, 1)
		return
	}
	c.servers.Merge(c.now, payload.Servers)
	c.peers[from] = &peerStatus{releaseSeq: payload.ReleaseSeq, activeVersion: payload.ActiveVersion}
	if payload.ReleaseSeq > c.releases.Position().Seq {
		c.pull(from)
	}
	c.compareServers(payload.ServersDigest)
}

// compareServers requests a full sync if no digest received for fullSyncDelay
// matched that of this host's server list.
func (c *Core) compareServers(digest uint64) {
	if digest == c.servers.Digest() {
		c.serversDifferSince = 0
		return
	}
	if c.serversDifferSince == 0 {
		c.serversDifferSince = c.now
	}
	if c.now-c.serversDifferSince > fullSyncDelay {
		c.serversDifferSince = c.now
		c.group.SyncSoon()
	}
}

// HandleFrame handles a frame from another entry host or from a control host.
func (c *Core) HandleFrame(now clock.Millis, body []byte) {
	c.now = now
	if c.group.HandleFrame(now, body) {
		c.refreshView()
		return
	}
	switch codec.KindOf(body) {
	case codec.Exceptions:
		handle(c, body, c.onFlowReplicas)
	case codec.LeaseRequest:
		handle(c, body, c.onLeaseRequest)
	case codec.LeaseGrant:
		handle(c, body, func(m *lease.Grant) { c.onLeaseGrant(m, m.From) })
	case codec.LeaseTransfer:
		handle(c, body, func(m *lease.Transfer) { c.leaseKeeper.Import(c.now, m) })
	case codec.Pull:
		handle(c, body, c.onPull)
	case codec.PullReply:
		handle(c, body, c.onUpdate)
	case codec.PollReply:
		handle(c, body, c.onPollReply)
	case codec.Applied:
		handle(c, body, c.onApplied)
	default:
		c.counters.Add(count.Malformed, 1)
	}
}

// handle decodes the message in body and passes it to f.
func handle[T any](c *Core, body []byte, f func(*T)) {
	m, err := codec.Decode[T](body)
	if err != nil {
		c.counters.Add(count.Malformed, 1)
		return
	}
	f(m)
}

// pullRequest requests the releases after Position.
type pullRequest struct {
	From     string
	Position chain.Position
}

// appliedNotice reports the active release of a host to the fetcher.
type appliedNotice struct {
	From          string
	ReleaseSeq    uint64
	ActiveVersion spec.Version
}

// pull requests newer releases from the named entry host.
func (c *Core) pull(from string) {
	if c.now < c.nextPull {
		return
	}
	c.nextPull = c.now + pullInterval
	c.sendFrame(from, codec.Pull, pullRequest{From: c.opts.Name, Position: c.releases.Position()})
}

// pullFromPeers pulls from a host that has a newer release, or whose release is
// unknown.
func (c *Core) pullFromPeers() {
	for _, m := range c.group.Members() {
		if status := c.peers[m.Name]; m.Name != c.opts.Name && (status == nil || status.releaseSeq > c.releases.Position().Seq) {
			c.pull(m.Name)
			return
		}
	}
}

func (c *Core) onPull(m *pullRequest) {
	if u := chain.MakeUpdate(m.Position, c.releases.Releases(), c.releases); u != nil {
		c.sendFrame(m.From, codec.PullReply, u)
	}
}

// onUpdate activates a newer release and reports it to the fetcher. It counts
// an invalid or older one as refused.
func (c *Core) onUpdate(u *chain.Update) {
	old := c.releases.Bundle()
	if err := c.releases.Accept(u); err != nil {
		c.counters.Add(count.ReleasesRefused, 1)
		return
	}
	c.counters.Add(count.ReleasesAccepted, 1)
	c.releaseActivatedAt = c.now
	c.out.Release = c.releases.FullUpdate()
	c.applyBundle(c.releases.Bundle(), old)
	c.startServing()
	c.refreshView()
	if fetcher := c.fetcher(); fetcher != "" && fetcher != c.opts.Name {
		c.sendFrame(fetcher, codec.Applied, appliedNotice{c.opts.Name, c.releases.Position().Seq, c.activeVersion()})
	}
	c.control.Soon(c.now)
}

func (c *Core) onApplied(m *appliedNotice) {
	c.peers[m.From] = &peerStatus{releaseSeq: m.ReleaseSeq, activeVersion: m.ActiveVersion}
}

// Restore activates the release that was stored before a restart.
func (c *Core) Restore(u *chain.Update) error {
	if err := c.releases.Accept(u); err != nil {
		return err
	}
	c.applyBundle(c.releases.Bundle(), nil)
	c.refreshView()
	return nil
}

// activeVersion returns the version of the active bundle, or 0.
func (c *Core) activeVersion() spec.Version {
	if b := c.releases.Bundle(); b != nil {
		return b.Version()
	}
	return 0
}

// fetcher returns the entry host that polls the control hosts on behalf of the
// data centre.
func (c *Core) fetcher() string {
	return c.owners.Home(homes.Bucket(nameHash("release")))
}

// pollControl polls a control host for releases. The fetcher of the data centre
// reports for all entry hosts.
func (c *Core) pollControl() {
	isFetcher := c.fetcher() == c.opts.Name
	address := c.control.Due(c.now, isFetcher || c.activeVersion() == 0)
	if address == "" {
		return
	}
	m := msgs.Poll{Position: c.releases.Position()}
	if isFetcher {
		m.Report = c.report()
	}
	c.out.Frames = append(c.out.Frames, Frame{address, codec.Encode(codec.Poll, m)})
}

// report returns the number of live entry hosts of the data centre, their lowest
// active version, and the health of the active bundle as seen by this host.
func (c *Core) report() msgs.Report {
	r := msgs.Report{Centre: c.opts.Centre, InForce: c.activeVersion(), Healthy: true}
	for _, m := range c.group.Members() {
		if m.State != member.Alive {
			continue
		}
		r.Hosts++
		if m.Name == c.opts.Name {
			continue
		}
		if status := c.peers[m.Name]; status == nil {
			r.InForce = 0
		} else {
			r.InForce = min(r.InForce, status.activeVersion)
		}
	}
	r.Healthy, r.Reason = c.health()
	return r
}

// health derives the health of the active bundle from the refusals counted on
// this host. A service that refuses most of its work counts as unhealthy only
// within healthWindow after activation.
func (c *Core) health() (healthy bool, reason string) {
	for name, s := range c.services {
		served, refused := s.load.Recent()
		if s.places.Current().Len() == 0 && refused >= minRefusals {
			return false, name + " has no server"
		}
		if refused >= minRefusals && refused > served && c.now-c.releaseActivatedAt < healthWindow {
			return false, name + " refuses most of its work"
		}
	}
	return true, ""
}

const (
	// minRefusals is the number of refusals in the current and the previous
	// second from which a service can count as unhealthy.
	minRefusals  = 50
	healthWindow = clock.Minute
)

// onPollReply applies the update of a control host that is in contact with a quorum.
func (c *Core) onPollReply(m *msgs.PollReply) {
	c.control.HandleReply(c.now, m.Current, m.Leader)
	if m.Current && m.Update != nil {
		c.onUpdate(m.Update)
	}
}

var _ member.Piggyback = (*gossip)(nil)
