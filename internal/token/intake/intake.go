// Package intake orders the datagrams that an entry host has received and not decided
// yet. It is designed for storms of opening packets on a host that is short of
// processor time: packets of open flows are decided first, so that neither their
// requests nor the acknowledgements that loads are computed from wait behind openings.
//
// The package does no I/O.
package intake

import "monsooncleat.example/monsooncleat/internal/base/clock"

const (
	// readBurst is the number of datagrams that are read before openings get a turn.
	readBurst = 512
	// openingBurst is the number of openings that are decided before more datagrams
	// are read.
	openingBurst = 16
	// maxOpenings bounds the openings that wait. When there are more, the oldest is
	// discarded: its client is the next to send a copy or to give up.
	maxOpenings = 1024
	// stallThreshold is the time without a call of Alive after which the process counts
	// as stalled. Hosts that are short of processor time call it late, too, but routers
	// turn to other hosts only after a longer time.
	stallThreshold = 500 * clock.Millis(1)
	// aliveThreshold is the time without a call of Alive from which datagrams may have
	// arrived unnoticed.
	aliveThreshold = 150 * clock.Millis(1)
	// lateThreshold is the time between two calls of Alive from which the later one is late.
	lateThreshold = 120 * clock.Millis(1)
	// quietTime is the time after a pause in which what arrived during it is read.
	quietTime = 50 * clock.Millis(1)
)

// Class tells packets apart by how urgent they are.
type Class uint8

// Classes.
const (
	// Invalid datagrams are discarded by Handler.Classify.
	Invalid Class = iota
	// Established is a packet of an open flow.
	Established
	// Opening is a packet that opens a flow, or a copy of one.
	Opening
)

// Handler classifies and decides datagrams.
type Handler interface {
	// Classify returns the class of a datagram.
	Classify(datagram []byte) Class
	// Decide decides on a datagram, which has waited on this host since it arrived.
	Decide(datagram []byte, waited Wait)
}

// Wait bounds the time for which a datagram has waited on this host.
type Wait struct {
	// Likely is the bound if the process ran as soon as something had arrived, and if it wasn't
	// paused for longer than aliveThreshold.
	Likely clock.Millis
	// Longest also covers a process that was short of processor time.
	Longest clock.Millis
}

// Source reads a datagram that has arrived into buffer. It returns false if there is
// none.
type Source func(buffer []byte) (size int, ok bool)

// Stats are the counters of a Queue.
type Stats struct {
	// Discarded counts openings for which there was no room.
	Discarded uint64
	// ProbesSent and ProbesRead count the probes.
	ProbesSent, ProbesRead uint64
	// LongestWait is the longest wait of a packet of an open flow, and
	// LongestOpeningWait that of an opening, since the previous call of Stats.
	LongestWait, LongestOpeningWait clock.Millis
}

// opening is an opening packet that waits.
type opening struct {
	datagram []byte
	// arrived and stalled are those of the Queue when the datagram was read.
	arrived bounds
	stalled bool
}

// bounds are times after which what is read has arrived: when the source was last empty, or
// when the latest probe that was read was sent.
type bounds struct {
	// likely assumes that the process ran when something arrived while the source was empty.
	likely, certain clock.Millis
}

func (b *bounds) wait(now clock.Millis) Wait { return Wait{now - b.likely, now - b.certain} }

// Queue holds the openings that wait. It is not safe for concurrent use.
type Queue struct {
	handler Handler
	now     func() clock.Millis
	buffer  []byte
	probes  probes
	arrived bounds
	// drained is set if the source was empty when the latest call of Receive returned, and at each
	// call of Alive since. The next call of Receive comes when something has arrived.
	drained bool
	// aliveAt is when the process was last known to run. Stalled is set after a stall, which
	// ended at stalledUntil, until what arrived meanwhile has been read.
	aliveAt, stalledUntil clock.Millis
	stalled               bool
	// unread is set after a pause while the source was empty, and if something was waiting when
	// Alive was called, or that was late, until something is read.
	unread bool
	// deciding is the opening that is decided, or nil.
	deciding *opening
	// openings is a ring: the oldest is at first.
	openings    [maxOpenings]opening
	first, size int
	stats       Stats
}

// New returns an empty Queue for datagrams of up to maxDatagram bytes. Probe sends probes to
// the source; without it, if it is nil, waits are overstated while the source is never empty.
func New(handler Handler, now func() clock.Millis, maxDatagram int, probe Prober) *Queue {
	return &Queue{
		handler: handler, now: now, buffer: make([]byte, maxDatagram), probes: newProbes(probe),
		drained: true, aliveAt: now(),
	}
}

// Alive must be called every 100 ms or so. Waiting says whether, after now, something is in the
// source or has been read from it and not been passed to Receive yet, as far as the caller can see.
// If not, what is read next has arrived after now. Otherwise, and if the call comes late, it may have
// arrived at any time since the source was last empty: a process that is short of processor time may
// have read something that the caller can't see. Then a probe asks for a call of Receive, and what was
// waiting is forgotten if the next call comes in time and nothing is waiting.
func (q *Queue) Alive(now clock.Millis, waiting bool) {
	gap := now - q.aliveAt
	late := gap > lateThreshold
	if !waiting && !late && q.unread && gap >= quietTime {
		q.drained, q.stalled, q.unread = true, false, false
	}
	emptyAt := max(q.aliveAt, q.arrived.certain)
	q.noticePause(now)
	if q.drained && (waiting || late) {
		q.arrived, q.drained, q.unread = bounds{emptyAt, emptyAt}, false, true
	}
	if q.unread && !waiting && q.probes.sendIfDue(now, q.arrived.certain) {
		q.stats.ProbesSent++
	}
}

// noticePause notices that the process did not run since it was last known to.
func (q *Queue) noticePause(now clock.Millis) {
	if now-q.aliveAt > stallThreshold {
		q.stalled, q.stalledUntil = true, now
	}
	if q.drained && now-q.aliveAt > aliveThreshold {
		q.arrived, q.drained, q.unread = bounds{q.aliveAt, q.aliveAt}, false, true
	}
	q.aliveAt = now
}

// Stalled reports whether the datagram that is decided may have arrived while the process
// was stalled.
func (q *Queue) Stalled() bool {
	if q.deciding != nil {
		return q.deciding.stalled
	}
	return q.stalled
}

// Receive takes a datagram that was just read, then reads more from source and decides
// until none is left or limit has passed. Openings that are left over are decided by
// the next call of Receive or Resume.
func (q *Queue) Receive(datagram []byte, source Source, limit clock.Millis) {
	start, alive := q.now(), q.aliveAt
	q.noticePause(start)
	q.unread = false
	if q.drained {
		q.arrived, q.drained = bounds{start, alive}, false
	}
	q.accept(datagram)
	for {
		empty := q.read(source)
		if empty && q.size == 0 {
			q.drained, q.stalled = true, false
			return
		}
		if q.now()-start >= limit {
			return
		}
		q.decideOpenings(openingBurst)
	}
}

// Resume decides on openings that an earlier call has left over, until limit has passed.
func (q *Queue) Resume(limit clock.Millis) {
	for start := q.now(); q.size > 0 && q.now()-start < limit; {
		q.decideOpenings(openingBurst)
	}
}

// read reads a burst from source and reports whether that was empty in the end.
func (q *Queue) read(source Source) (empty bool) {
	for range readBurst {
		// The process may be paused after the source has found nothing.
		before := q.now()
		n, ok := source(q.buffer)
		if !ok {
			q.arrived = bounds{before, before}
			return true
		}
		q.accept(q.buffer[:n])
	}
	return false
}

func (q *Queue) accept(datagram []byte) {
	if sentAt, ok := q.probes.decode(datagram); ok {
		q.arrived = bounds{max(q.arrived.likely, sentAt), max(q.arrived.certain, sentAt)}
		q.stalled = q.stalled && sentAt < q.stalledUntil
		q.stats.ProbesRead++
		return
	}
	now := q.now()
	if q.probes.sendIfDue(now, q.arrived.certain) {
		q.stats.ProbesSent++
	}
	switch q.handler.Classify(datagram) {
	case Established:
		waited := q.arrived.wait(now)
		q.stats.LongestWait = max(q.stats.LongestWait, waited.Likely)
		q.handler.Decide(datagram, waited)
	case Opening:
		q.push(datagram)
	case Invalid:
	}
}

func (q *Queue) push(datagram []byte) {
	if q.size == maxOpenings {
		q.stats.Discarded++
		q.first = (q.first + 1) % maxOpenings
		q.size--
	}
	o := &q.openings[(q.first+q.size)%maxOpenings]
	o.datagram, o.arrived, o.stalled = append(o.datagram[:0], datagram...), q.arrived, q.stalled
	q.size++
}

func (q *Queue) decideOpenings(limit int) {
	for range min(limit, q.size) {
		o := &q.openings[q.first]
		q.first = (q.first + 1) % maxOpenings
		q.size--
		q.deciding = o
		waited := o.arrived.wait(q.now())
		q.stats.LongestOpeningWait = max(q.stats.LongestOpeningWait, waited.Likely)
		q.handler.Decide(o.datagram, waited)
	}
	q.deciding = nil
}

// Len returns the number of openings that wait.
func (q *Queue) Len() int { return q.size }

// Stats returns the counters and restarts the longest waits.
func (q *Queue) Stats() Stats {
	s := q.stats
	q.stats.LongestWait, q.stats.LongestOpeningWait = 0, 0
	return s
}
