// Package shape decides when an entry host sends the packets of clients to the servers,
// so that it sends a little less than its link carries. It is designed for a card
// tournament whose uploads, with 16 packets in flight each, share narrow links with
// requests of one packet: uploads wait here, where others can overtake them, and not in
// the first-in, first-out queue of the link.
//
// Packets of flows that have sent little, and packets without data, are sent at once.
// The others wait in a queue per flow, and are served by deficit round robin.
//
// The package does no I/O.
package shape

import (
	"math"
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

const (
	// sendFraction is the part of the link's rate that is used. The rest keeps the
	// queue of the link short.
	sendFraction = 0.9
	// calmFraction is the part of the link's rate up to which flows aren't told apart.
	calmFraction = 0.5
	// calmBurst is the number of bytes that may exceed that rate.
	calmBurst = 1500
	// calmAfter is how long the host must send nothing after an excess until flows aren't
	// told apart any more, at most.
	calmAfter = 250 * clock.Millis(1)
	// minBurst and burstTime bound the bytes that are sent in a burst after a pause: the
	// greater of the two.
	minBurst  = 3000
	burstTime = 5 * clock.Millis(1)
	// catchUpTime bounds the bytes that are sent in a burst by a host that was
	// paused, for lack of processor time, while packets waited.
	catchUpTime = 20 * clock.Millis(1)
	// maxDebt bounds the time for which waiting packets make up for those that were sent
	// at once above the rate.
	maxDebt = 50 * clock.Millis(1)
	// reservedShare is the part of the rate that waiting packets get even if the packets
	// sent at once need all of it, so that uploads advance.
	reservedShare = 1.0 / 12
	// maxLinkWait is the wait in the queue of the link from which packets with data are
	// dropped instead of sent at once. Their senders send them again after 200 ms, so with
	// a longer queue the link would carry most packets twice.
	maxLinkWait = 150 * clock.Millis(1)
	// maxLinkQueue bounds the estimated wait in that queue, which a flood of packets without
	// data would raise without end. Requests pass again 350 ms after such a flood.
	maxLinkQueue = 500 * clock.Millis(1)
	// fullWait is the wait of a packet from which new large flows are refused. Senders send
	// a packet again after this time, and the copies fill the link in front of the host.
	fullWait = 200 * clock.Millis(1)
	// pause is the least time from one release of waiting packets to the next one that a
	// timer triggers. It saves wake-ups: several packets are released at once.
	pause = 4 * clock.Millis(1)
	// maxAge is how long a packet waits. Its sender sends it again after 200 ms and
	// 600 ms.
	maxAge = 600 * clock.Millis(1)
	// smallFlow is the number of bytes, three full packets, that a flow may have sent
	// lately and still send at once.
	smallFlow = 4000
	// halfLife is the time in which the count of bytes that a flow has sent is halved.
	halfLife = 500 * clock.Millis(1)
	// measuredAgain is how long after a packet that waited the answers to its flow don't
	// tell how fast the server is.
	measuredAgain = clock.Second
	// headerSize is the size of the IPv4 and UDP headers, which the link carries too.
	headerSize = 28
	// shareInterval is the time over which Stats.Share is measured.
	shareInterval = clock.Second
)

// Flow identifies a flow by its two addresses.
type Flow struct {
	Client, Route netip.AddrPort
}

// Packet is a packet to send.
type Packet struct {
	// Seq is the sequence number of the first byte of data, Length the number of bytes of
	// data.
	Seq    uint32
	Length int
	// To is the address to which Datagram is sent.
	To       netip.AddrPort
	Datagram []byte
}

// Verdict is the decision on a packet.
type Verdict uint8

// Verdicts.
const (
	// Send means that the packet is to be sent now.
	Send Verdict = iota
	// Wait means that Next will return a copy of the packet, unless it gets too old.
	Wait
	// Drop means that the packet is discarded.
	Drop
)

// Options are the settings of a Shaper.
type Options struct {
	// LinkRate is the rate of the link in bits a second, above 0.
	LinkRate int64
}

// Stats are the counters of a Shaper.
type Stats struct {
	// SentPackets and SentBytes count packets that were sent at once, with headers,
	// ReleasedPackets and ReleasedBytes those that had waited.
	SentPackets, SentBytes, ReleasedPackets, ReleasedBytes uint64
	// Duplicates counts packets dropped because an earlier copy waited, Expired those
	// that waited for too long, Refused those for which there was no room, and Shed those
	// that would have waited for too long in the queue of the link.
	Duplicates, Expired, Refused, Shed uint64
	// Waiting and WaitingBytes tell how many packets wait, and Flows how many flows are
	// told apart.
	Waiting, WaitingBytes, Flows int
	// LongestWait is the longest wait of a packet that was released or dropped since the
	// previous call of Stats, or waits now.
	LongestWait clock.Millis
	// Share is the part of the link's rate that was used in the latest whole second.
	Share float64
}

// Shaper holds the packets that wait. It is not safe for concurrent use.
type Shaper struct {
	// linkRate and rate, the part of it that is used, are in bytes a millisecond.
	linkRate, rate float64
	burst          float64
	now            clock.Millis
	// excess is the number of bytes sent above calmFraction. Flows are told apart once it
	// exceeds calmBurst, until it is 0 again.
	excess float64
	busy   bool
	// credit is the number of bytes that may be sent now, reserve that of the share of
	// packets that wait. Both are below 0 after a packet that exceeded them.
	credit, reserve float64
	// linkQueue estimates the number of bytes in the queue of the link.
	linkQueue float64
	// used counts bytes since usedSince.
	used      uint64
	usedSince clock.Millis
	// delayedAt is when a packet that had waited was last released or dropped.
	delayedAt clock.Millis
	queues    queues
	stats     Stats
	out       Packet
}

// New returns a Shaper without packets.
func New(options Options) *Shaper {
	link := float64(options.LinkRate) / 8000
	s := &Shaper{linkRate: link, rate: link * sendFraction, delayedAt: math.MinInt32}
	s.burst = max(minBurst, s.rate*float64(burstTime))
	s.queues.init()
	return s
}

// Offer decides on a packet. If it is to wait, its datagram is copied.
func (s *Shaper) Offer(now clock.Millis, flow *Flow, p *Packet) Verdict {
	size := len(p.Datagram) + headerSize
	s.advance(now)
	if !s.busy {
		s.pass(size)
		return Send
	}
	q := &s.queues
	f := q.find(now, flow)
	if f.first == none {
		f.decay(now)
		small := p.Length == 0 || f.sent+size <= smallFlow
		if small && p.Length > 0 && s.linkQueue > s.linkRate*float64(maxLinkWait) {
			// The bytes count, so that the following packets of a large flow wait.
			f.sent += size
			s.stats.Shed++
			return Drop
		}
		if !small {
			q.countLarge(f)
		}
		if small || q.waiting == 0 && s.credit > 0 {
			f.sent += size
			s.pass(size)
			return Send
		}
	} else if q.renewCopy(now, f, p) {
		s.stats.Duplicates++
		return Drop
	}
	if !q.push(now, f, p) {
		s.stats.Refused++
		return Drop
	}
	return Wait
}

// Count counts a datagram of the given size that the host sends itself.
func (s *Shaper) Count(now clock.Millis, size int) {
	s.advance(now)
	s.pass(size + headerSize)
}

// Next returns the next waiting packet that is due, if there is one. It is valid until
// the next call of a method.
func (s *Shaper) Next(now clock.Millis) (*Packet, bool) {
	if s.queues.waiting == 0 {
		return nil, false
	}
	s.advance(now)
	if s.credit <= 0 && s.reserve <= 0 {
		return nil, false
	}
	return s.release()
}

// Drain returns the next waiting packet, due or not, until there is none.
func (s *Shaper) Drain(now clock.Millis) (*Packet, bool) {
	s.advance(now)
	return s.release()
}

// DueIn returns the time after which Next is to be called again, as of its latest call.
// It returns false if nothing waits.
func (s *Shaper) DueIn() (clock.Millis, bool) {
	if s.queues.waiting == 0 {
		return 0, false
	}
	wait := min(-s.credit/s.rate, -s.reserve/(s.rate*reservedShare))
	return max(clock.Millis(wait)+1, pause), true
}

// Delayed reports whether a packet of the flow waits or has lately waited, so that its
// retransmissions and the time of its answer say little about the server.
func (s *Shaper) Delayed(now clock.Millis, flow *Flow) bool {
	if s.queues.waiting == 0 && now-s.delayedAt > measuredAgain {
		return false
	}
	i, _ := s.queues.lookup(flow)
	if i == none {
		return false
	}
	f := &s.queues.flows[i]
	return f.first != none || now-f.delayedAt <= measuredAgain
}

// Full reports whether a new flow of the route can't be served, since packets wait for
// too long and most flows of the route are large.
func (s *Shaper) Full(now clock.Millis, route netip.AddrPort) bool {
	q := &s.queues
	return q.oldest != none && now-q.slots[q.oldest].since > fullWait && q.mostlyLarge(route)
}

// Stats returns the counters and restarts the longest wait.
func (s *Shaper) Stats(now clock.Millis) Stats {
	s.advance(now)
	q := &s.queues
	out := s.stats
	out.Waiting, out.WaitingBytes, out.Flows = q.waiting, q.bytes, len(q.flows)
	if q.oldest != none {
		out.LongestWait = max(out.LongestWait, now-q.slots[q.oldest].since)
	}
	s.stats.LongestWait = 0
	return out
}

// advance lets the time pass until now.
func (s *Shaper) advance(now clock.Millis) {
	if now <= s.now {
		return
	}
	elapsed := float64(now - s.now)
	s.now = now
	s.excess = max(s.excess-elapsed*s.linkRate*calmFraction, 0)
	s.linkQueue = max(s.linkQueue-elapsed*s.linkRate, 0)
	limit := s.burst
	if s.queues.waiting > 0 {
		limit = max(limit, s.rate*float64(catchUpTime))
		s.expire()
	}
	if s.excess == 0 && s.queues.waiting == 0 {
		s.busy = false
	}
	s.credit = min(s.credit+elapsed*s.rate, limit)
	s.reserve = min(s.reserve+elapsed*s.rate*reservedShare, s.rate*reservedShare*float64(catchUpTime))
	if interval := now - s.usedSince; interval >= shareInterval {
		s.stats.Share = float64(s.used) / (s.linkRate * float64(interval))
		s.used, s.usedSince = 0, now
	}
}

// expire drops the oldest packets if they have waited for too long. Behind one that was
// renewed, release does so.
func (s *Shaper) expire() {
	q := &s.queues
	for q.oldest != none && s.expired(&q.slots[q.oldest]) {
		s.remove(q.slots[q.oldest].flow)
		s.stats.Expired++
	}
}

func (s *Shaper) expired(p *slot) bool { return s.now-p.renewed > maxAge }

// remove removes the first packet of a flow and records how long it waited.
func (s *Shaper) remove(f int32) {
	q := &s.queues
	slot := &q.slots[q.flows[f].first]
	s.stats.LongestWait = max(s.stats.LongestWait, s.now-slot.since)
	s.delayedAt, q.flows[f].delayedAt = s.now, s.now
	q.pop(f)
}

// pass counts a packet that is sent at once.
func (s *Shaper) pass(size int) {
	s.stats.SentPackets++
	s.stats.SentBytes += uint64(size)
	s.spend(size)
}

// release takes the next packet out of the queues.
func (s *Shaper) release() (*Packet, bool) {
	q := &s.queues
	var i int32
	for {
		if q.waiting == 0 {
			return nil, false
		}
		i = q.next()
		if !s.expired(&q.slots[q.flows[i].first]) {
			break
		}
		s.remove(i)
		s.stats.Expired++
	}
	f := &q.flows[i]
	slot := &q.slots[f.first]
	size := len(slot.datagram) + headerSize
	s.out = Packet{Seq: slot.seq, Length: slot.length, To: slot.to, Datagram: slot.datagram}
	s.stats.ReleasedPackets++
	s.stats.ReleasedBytes += uint64(size)
	f.decay(s.now)
	f.sent += size
	f.deficit -= size
	s.reserve = max(s.reserve-float64(size), -minBurst)
	s.spend(size)
	s.remove(i)
	return &s.out, true
}

func (s *Shaper) spend(size int) {
	s.used += uint64(size)
	s.linkQueue = min(s.linkQueue+float64(size), s.linkRate*float64(maxLinkQueue))
	s.credit = max(s.credit-float64(size), -s.rate*float64(maxDebt))
	s.excess = min(s.excess+float64(size), max(s.linkRate*calmFraction*float64(calmAfter), 2*calmBurst))
	if s.excess > calmBurst {
		s.busy = true
	}
}
