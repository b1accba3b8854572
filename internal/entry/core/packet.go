package core

import (
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/hash"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
	"monsooncleat.example/monsooncleat/internal/host/homes"
	"monsooncleat.example/monsooncleat/internal/wire/geneve"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

// maxHops is how many entry hosts one packet may pass.
const maxHops = 8

// arrival is how a packet came to this host.
type arrival struct {
	// origin is the fabric endpoint that delivered the packet, and relay what
	// the entry host before this one attached.
	origin  netip.AddrPort
	relay   geneve.Relay
	relayed bool
}

func (a *arrival) has(flag uint8) bool { return a.relayed && a.relay.Flags&flag != 0 }

func serverHash(name string) uint64 { return hash.Mix(hash.String(name), 0x51) }

// Datagram takes a datagram that came from the fabric or from another entry
// host.
func (c *Core) Datagram(now clock.Millis, from netip.AddrPort, data []byte) {
	c.now = now
	d := &c.datagram
	if c.decoder.Decode(data, d) != nil || c.parser.Parse(d.Inner, &c.packet) != nil {
		c.counters.Add(Malformed, 1)
		return
	}
	in := arrival{origin: from}
	if d.Relayed {
		in = arrival{origin: d.Relay.Origin, relay: d.Relay, relayed: true}
		c.counters.Add(PacketsRelayedIn, 1)
		c.noteVersion(spec.Version(d.Relay.Version))
	} else {
		c.counters.Add(PacketsIn, 1)
		if c.opts.ReturnPort != 0 {
			in.origin = netip.AddrPortFrom(from.Addr(), c.opts.ReturnPort)
		}
	}
	c.route(&c.packet, &in)
}

// noteVersion asks the others for a bundle that a relayed packet has seen.
func (c *Core) noteVersion(v spec.Version) {
	if b := c.holderOf.Bundle(); b == nil || v > b.Version() {
		c.pullFromPeers()
	}
}

func (c *Core) route(p *inner.Packet, in *arrival) {
	b := c.holderOf.Bundle()
	if b == nil {
		c.counters.Add(NotReady, 1)
		return
	}
	if in.has(geneve.FlagNote) {
		c.passNoted(p, in)
		return
	}
	s := c.ownerOf(&p.Key)
	if s != nil && s.spec.Kind() == spec.Request {
		c.request(s, p, in)
		return
	}
	c.stream(s, p, in)
}

// relayHome passes p to the home of bucket. It reports false when this host
// is the home, or has to act as if it were.
func (c *Core) relayHome(bucket int, p *inner.Packet, in *arrival) bool {
	home := c.homes.Home(bucket)
	if home == c.opts.Name {
		return false
	}
	if home == "" {
		c.counters.Add(NotReady, 1)
		return true
	}
	if in.has(geneve.FlagAskPrevious) {
		return false
	}
	if c.looped(in) {
		return true
	}
	c.relay(home, p, in, 0)
	return true
}

// relay passes p to another entry host with this host's view.
func (c *Core) relay(host string, p *inner.Packet, in *arrival, flags uint8) {
	r := geneve.Relay{Hops: in.relay.Hops + 1, Flags: flags, Origin: in.origin, View: c.viewed}
	if b := c.holderOf.Bundle(); b != nil {
		r.Version = uint32(b.Version())
	}
	c.counters.Add(PacketsRelayedOut, 1)
	c.send(c.addrs[host], p.Raw, &r)
}

// looped reports whether a packet has passed so many hosts that it must not be
// relayed again. It is dropped: the views differ for a moment, and the sender
// will repeat it.
func (c *Core) looped(in *arrival) bool {
	if in.relay.Hops < maxHops {
		return false
	}
	c.counters.Add(TooManyHops, 1)
	return true
}

// askTarget returns the host that may know a key of bucket which this host, its
// home, does not: a leaving host that owned it, or the successor while this
// host owns the bucket for less than span. It returns "" when there is none.
func (c *Core) askTarget(bucket int, in *arrival, span clock.Millis) string {
	if in.has(geneve.FlagAsked) || c.opts.Off.Ask {
		return ""
	}
	if former := c.homes.Former(bucket); former != "" && former != c.opts.Name {
		return former
	}
	if c.now-c.since[bucket] < span && c.since[bucket] > c.born {
		return c.homes.Next(bucket)
	}
	return ""
}

// answerAsk sends a packet that the new home asked about back to it, when this
// host knows nothing of it. It reports whether the packet was such an ask.
func (c *Core) answerAsk(bucket int, p *inner.Packet, in *arrival) bool {
	home := c.homes.Home(bucket)
	if !in.has(geneve.FlagAskPrevious) || home == c.opts.Name || home == "" {
		return false
	}
	c.relay(home, p, in, geneve.FlagAsked)
	return true
}

func (c *Core) bucketOf(hash uint64) int { return homes.Bucket(hash) }
