// Package poll decides when an entry host polls the control hosts for releases, and
// which of them.
package poll

import (
	"math/rand/v2"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

const (
	// interval is the interval at which the fetcher of the data centre polls
	// the control hosts, and backupInterval the mean interval of the others.
	interval       = 500 * clock.Millis(1)
	backupInterval = 30 * clock.Second
	timeout        = 1500 * clock.Millis(1)
	// soonDelay is the maximum delay of the next poll after an update or after a
	// reply without a quorum.
	soonDelay = 300 * clock.Millis(1)
)

// Poller schedules the polls. It is not safe for concurrent use.
type Poller struct {
	addresses []string
	rand      *rand.Rand
	// index is the index in addresses of the control host to poll.
	index         int
	nextAt        clock.Millis
	sentAt        clock.Millis
	awaitingReply bool
	// upToDateAt is the time of the last reply from a control host in contact with a
	// quorum.
	upToDateAt clock.Millis
}

// New returns a Poller for the control hosts at the given addresses.
func New(addresses []string, r *rand.Rand) *Poller { return &Poller{addresses: addresses, rand: r} }

// UpToDateAt returns the time of the last reply from a control host in contact with a
// quorum, or 0.
func (p *Poller) UpToDateAt() clock.Millis { return p.upToDateAt }

// Due returns the address to poll now, or "" if no poll is due. Frequent is set for the
// fetcher of the data centre and for a host without a bundle; the others poll rarely,
// in case the fetcher cannot reach a control host.
func (p *Poller) Due(now clock.Millis, frequent bool) string {
	if len(p.addresses) == 0 {
		return ""
	}
	if p.awaitingReply && now-p.sentAt > timeout {
		p.awaitingReply = false
		p.next()
		p.nextAt = now
	}
	if now < p.nextAt || p.awaitingReply {
		return ""
	}
	p.nextAt = now + backupInterval/2 + clock.Millis(p.rand.Int64N(int64(backupInterval)))
	if frequent {
		p.nextAt = now + interval
	}
	p.awaitingReply, p.sentAt = true, now
	return p.addresses[p.index]
}

func (p *Poller) next() { p.index = (p.index + 1) % len(p.addresses) }

// Soon brings the next poll forward, after an update.
func (p *Poller) Soon(now clock.Millis) { p.nextAt = min(p.nextAt, now+soonDelay) }

// HandleReply records a reply. Current is set if the control host is in contact with a
// quorum; if not, the next control host is polled soon. Leader is the address of the
// leader, or "".
func (p *Poller) HandleReply(now clock.Millis, current bool, leader string) {
	p.awaitingReply = false
	if len(p.addresses) == 0 {
		return
	}
	if !current {
		p.next()
		p.Soon(now)
		return
	}
	p.upToDateAt = now
	if i := slices.Index(p.addresses, leader); i >= 0 {
		p.index = i
	}
}
