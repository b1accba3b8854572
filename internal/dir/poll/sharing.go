package poll

import (
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
)

// listedTime is how long a control host may list the entry host after a poll.
const listedTime = 2 * clock.Second

// sharing is the part of the entry host in the list of those that take new flows.
type sharing struct {
	// ready reports whether the entry host takes new flows.
	ready bool
	// withdraw is set if the control hosts that were polled recently, besides the
	// primary, must be told that the entry host no longer takes new flows.
	withdraw bool
	// version is that of the latest list accepted.
	version uint64
}

// SetSharing sets whether the entry host takes new flows. A change is reported to the
// control hosts at the next Tick.
func (p *Poller) SetSharing(ready bool) {
	if ready == p.sharing.ready {
		return
	}
	p.sharing.ready, p.sharing.withdraw = ready, !ready
	p.nextPollAt = 0
}

// appendWithdrawals adds a request to each control host that may still list an entry
// host which has stopped taking new flows. The primary is polled anyway, unless a reply
// of it is awaited.
func (p *Poller) appendWithdrawals(now clock.Millis, requests []Request, version uint64) []Request {
	if !p.sharing.withdraw {
		return requests
	}
	p.sharing.withdraw = false
	for address, h := range p.hosts {
		asked := slices.ContainsFunc(requests, func(r Request) bool { return r.Address == address })
		if !asked && h.polledAt > 0 && now-h.polledAt <= listedTime {
			requests = p.appendProbe(now, requests, address, version)
		}
	}
	return requests
}

// acceptSharing returns the lists in a reply from the primary, or nil if they have not
// changed. It needs no quorum: in a partition, each side goes by the entry hosts that it
// is in contact with.
func (p *Poller) acceptSharing(r *msgs.FetchReply) (hosts []uint64, elsewhere map[string][]uint64) {
	if r.SharingVersion == 0 || r.SharingVersion == p.sharing.version {
		return nil, nil
	}
	p.sharing.version = r.SharingVersion
	return append([]uint64{}, r.Sharing...), r.SharingElsewhere
}
