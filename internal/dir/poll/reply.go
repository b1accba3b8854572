package poll

import (
	"github.com/rotisserie/eris"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/dir/record"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

// HandleReply handles a reply and returns what the entry host accepts of it.
// Version is the version of the entry host's routing table. After an error, which
// means that the reply is malformed, all that it held is requested again.
func (p *Poller) HandleReply(now clock.Millis, r *msgs.FetchReply, version uint64) (Accepted, error) {
	address, ok := p.pending[r.RequestID]
	if !ok {
		return Accepted{}, nil
	}
	p.dropPending(address, r.RequestID)
	h := p.hosts[address]
	h.waitingSince, h.fullPending = 0, false
	if r.RetryAfter > 0 {
		if address == p.primary {
			p.nextPollAt = now + p.jitter(r.RetryAfter)
		}
		return Accepted{}, nil
	}
	a := Accepted{}
	var err error
	if a.Servers, err = record.All(r.Servers, r.Blocks); err != nil {
		h.runID, h.position, h.part = 0, 0, msgs.AllParts
		return Accepted{}, eris.Wrapf(err, "reply of control host %s", address)
	}
	delta, err := r.TableDelta()
	if err != nil {
		return Accepted{}, eris.Wrapf(err, "routing table of control host %s", address)
	}
	p.updateHost(now, h, r)
	p.updateHosts(r)
	a.Next = p.choosePrimary(now, address, r, version)
	if address == p.primary {
		p.primaryRepliedAt = now
		a.Sharing, a.SharingElsewhere = p.acceptSharing(r)
		a.Grants, a.GrantedAt = p.grants(r)
		a.Loads, a.LoadCentres, err = p.loads(r)
		if err != nil {
			p.RefetchAll()
			return Accepted{}, eris.Wrapf(err, "loads of control host %s", address)
		}
	}
	if r.Current {
		p.quorumRepliedAt = now
	}
	if r.Current && r.Part != msgs.LocalPart && h.part != msgs.RestPart {
		// A host that was paused may read a reply late. Brief requests have no time.
		p.confirmedAt = max(p.confirmedAt, p.sentAt[r.RequestID])
	}
	// An entry host without a routing table takes the first one, which was in force
	// once, and a newer one as soon as a quorum has confirmed it.
	if delta != nil && (r.Current || version == 0 && (!p.options.AwaitQuorum || p.Isolated(now))) {
		a.Delta = delta
	}
	p.acceptEvacuations(&a, r, a.Delta != nil)
	return a, nil
}

// updateHost records the state of a control host from its reply.
func (p *Poller) updateHost(now clock.Millis, h *controlHost, r *msgs.FetchReply) {
	sameRun := h.runID == r.RunID
	if !sameRun {
		h.runID, h.position, h.part = r.RunID, 0, msgs.AllParts
	}
	if r.Position > 0 || len(r.Blocks) > 0 {
		h.position = max(h.position, r.Position)
		h.part = msgs.AllParts
		if r.Part == msgs.LocalPart {
			h.part = msgs.RestPart
		}
	}
	h.repliedAt, h.current, h.version = now, r.Current, r.Version
	if r.Form == msgs.BlockForm && sameRun && r.SilentVersion == h.silentVersion {
		return
	}
	// A function that Silence returned may still use the previous map.
	h.silent, h.silentVersion = make(map[string]bool, len(r.SilentServers)), r.SilentVersion
	for _, id := range r.SilentServers {
		h.silent[id] = true
	}
}

// updateHosts records the list of control hosts, if the reply has one.
func (p *Poller) updateHosts(r *msgs.FetchReply) {
	if len(r.ControlHosts) == 0 {
		return
	}
	p.learned, p.hostsVersion, p.advertised = r.ControlHosts, r.HostsVersion, nil
	for i, address := range r.ControlHosts {
		if i < len(r.ControlCentres) && r.ControlCentres[i] != "" {
			p.centres[address] = r.ControlCentres[i]
		}
	}
}

// choosePrimary makes the control host that replied the primary if there is none, if
// the primary is unhealthy and it is not, or if it is the preferred one. It reports
// whether a request to the primary is due at once.
func (p *Poller) choosePrimary(now clock.Millis, address string, r *msgs.FetchReply, version uint64) (next bool) {
	h := p.hosts[address]
	switch {
	case p.primary == "":
	case address == p.primary:
		if h.part == msgs.RestPart {
			p.nextPollAt = now
			return true
		}
		return false
	case p.primaryUnhealthy(now) && (r.Current || version == 0 && r.Version > p.hosts[p.primary].version):
	case r.Current && address == p.preferred():
	default:
		return false
	}
	p.primary, p.nextPollAt = address, now
	p.nextMoveAt = now + p.jitter(moveInterval)
	return true
}

// loads returns the loads of all other hosts in a reply from the primary.
func (p *Poller) loads(r *msgs.FetchReply) (choose.Loads, []string, error) {
	if r.Form == msgs.ListForm {
		return r.Loads, nil, nil
	}
	var centres []string
	size := 0
	all := choose.Loads{}
	for _, t := range r.Totals {
		size += len(t.Loads)
		if err := all.Parse(t.Loads); err != nil {
			return nil, nil, err
		}
		centres = append(centres, t.Centre)
	}
	if len(centres) == 0 {
		return nil, nil, nil
	}
	if len(centres) > 1 {
		p.allLoadsInterval = clock.Millis(size) * clock.Second / allLoadsRate
	}
	for token, own := range p.reports[r.ReportID] {
		if total, known := all[token]; known {
			all[token] = total.Minus(own)
		}
	}
	return all, centres, nil
}
