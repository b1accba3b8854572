package core

import (
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/hash"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
	"monsooncleat.example/monsooncleat/internal/entry/count"
	"monsooncleat.example/monsooncleat/internal/host/homes"
	"monsooncleat.example/monsooncleat/internal/wire/geneve"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

// maxHops is the maximum number of entry hosts that relay one packet.
const maxHops = 8

// arrival describes how a packet reached this host.
type arrival struct {
	// origin is the fabric endpoint that delivered the packet to the first
	// entry host. With geneve.FlagReplicate it is the address of the server to
	// which the packet is to be forwarded.
	origin netip.AddrPort
	// relay is the option that the previous entry host attached. It is valid
	// only if relayed is set.
	relay   geneve.Relay
	relayed bool
}

func (a *arrival) has(flag uint8) bool { return a.relayed && a.relay.Flags&flag != 0 }

// nameSalt is the salt of name hashes. All hosts must use the same one.
const nameSalt = 0x51

// nameHash returns the hash that maps a name to a bucket. For the name of a
// server, the bucket's owner is the server's lease keeper. For the name
// "release", it is the fetcher.
func nameHash(name string) uint64 { return hash.Mix(hash.String(name), nameSalt) }

// HandleDatagram handles a datagram from the fabric or from another entry host.
func (c *Core) HandleDatagram(now clock.Millis, from netip.AddrPort, data []byte) {
	c.now = now
	d := &c.datagram
	if c.decoder.Decode(data, d) != nil || c.parser.Parse(d.Inner, &c.packet) != nil {
		c.counters.Add(count.Malformed, 1)
		return
	}
	in := arrival{origin: from}
	if d.Relayed {
		in = arrival{origin: d.Relay.Origin, relay: d.Relay, relayed: true}
		c.counters.Add(count.PacketsRelayedIn, 1)
		c.pullIfNewer(spec.Version(d.Relay.Version))
	} else {
		c.counters.Add(count.PacketsIn, 1)
		if c.opts.ReturnPort != 0 {
			in.origin = netip.AddrPortFrom(from.Addr(), c.opts.ReturnPort)
		}
	}
	c.routePacket(&c.packet, &in)
}

// pullIfNewer requests releases from the other hosts if v, the version of the
// host that relayed a packet, is newer than the active one.
func (c *Core) pullIfNewer(v spec.Version) {
	if b := c.releases.Bundle(); b == nil || v > b.Version() {
		c.pullFromPeers()
	}
}

// routePacket dispatches p by its relay flags and the kind of its service.
func (c *Core) routePacket(p *inner.Packet, in *arrival) {
	b := c.releases.Bundle()
	if b == nil {
		c.counters.Add(count.NotReady, 1)
		return
	}
	if in.has(geneve.FlagReplicate) {
		c.recordAndForward(p, in)
		return
	}
	s := c.serviceOf(&p.Key)
	if s != nil && s.spec.Kind() == spec.Request {
		c.handleRequest(s, p, in)
		return
	}
	c.handleFlowPacket(s, p, in)
}

// relayToOwner relays p to the owner of bucket. It drops p if there is no owner
// or the hop limit is reached. It returns false if this host has to handle p
// itself: because it is the owner, or because the owner requested a lookup.
func (c *Core) relayToOwner(bucket int, p *inner.Packet, in *arrival) bool {
	owner := c.owners.Home(bucket)
	if owner == c.opts.Name {
		return false
	}
	if owner == "" {
		c.counters.Add(count.NotReady, 1)
		return true
	}
	if in.has(geneve.FlagLookup) {
		return false
	}
	if c.hopLimitReached(in) {
		return true
	}
	c.relay(owner, p, in, 0)
	return true
}

// relay sends p to another entry host with a relay option.
func (c *Core) relay(host string, p *inner.Packet, in *arrival, flags uint8) {
	relay := geneve.Relay{Hops: in.relay.Hops + 1, Flags: flags, Origin: in.origin, ViewVersion: c.viewVersion}
	if b := c.releases.Bundle(); b != nil {
		relay.Version = uint32(b.Version())
	}
	c.counters.Add(count.PacketsRelayedOut, 1)
	c.send(c.addrs[host], p.Raw, &relay)
}

// hopLimitReached reports whether a packet was relayed maxHops times and must
// be dropped. That happens while the hosts disagree about the owner; the sender
// will retransmit.
func (c *Core) hopLimitReached(in *arrival) bool {
	if in.relay.Hops < maxHops {
		return false
	}
	c.counters.Add(count.TooManyHops, 1)
	return true
}

// lookupTarget returns the host to ask for a record that this host, the owner of
// bucket, lacks. This is the leaving host that owned the bucket, if there is
// one. Otherwise it is the successor, which may have been the owner before, if
// this host became owner or successor, or was back in contact with a majority, less
// than window ago and after its start.
// It returns "" if no host is to be asked or if the lookup has been done.
func (c *Core) lookupTarget(bucket int, in *arrival, window clock.Millis) string {
	if in.has(geneve.FlagLookupMiss) || c.opts.Disabled.OwnerLookup {
		return ""
	}
	if former := c.owners.Former(bucket); former != "" && former != c.opts.Name {
		return former
	}
	if since := max(c.responsibleSince[bucket], c.unfencedAt); c.now-since < window && since > c.startedAt {
		return c.owners.Successor(bucket)
	}
	return ""
}

// returnToOwner relays p back to the owner of bucket with geneve.FlagLookupMiss,
// if p is a lookup by another host that owns it. It reports whether it did.
func (c *Core) returnToOwner(bucket int, p *inner.Packet, in *arrival) bool {
	owner := c.owners.Home(bucket)
	if !in.has(geneve.FlagLookup) || owner == c.opts.Name || owner == "" {
		return false
	}
	c.relay(owner, p, in, geneve.FlagLookupMiss)
	return true
}

func (c *Core) bucketOf(hash uint64) int { return homes.Bucket(hash) }
