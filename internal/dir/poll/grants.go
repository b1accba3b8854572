package poll

import (
	"maps"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
)

// noteSent records when a full request is sent, and forgets the requests before that are
// so old that their grants are over.
func (p *Poller) noteSent(now clock.Millis, requestID uint64) {
	maps.DeleteFunc(p.sentAt, func(_ uint64, at clock.Millis) bool { return now-at > connTimeout })
	p.sentAt[requestID] = now
}

// grants returns the grants in a reply from the primary and when the request that it
// answers was sent, or 0 if that was a brief one or long ago, so that the reply says
// nothing about grants.
func (p *Poller) grants(r *msgs.FetchReply) ([]msgs.Grant, clock.Millis) {
	at := p.sentAt[r.RequestID]
	if at == 0 {
		return nil, 0
	}
	return r.Grants, at
}
