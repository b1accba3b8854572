package poll

import "monsooncleat.example/monsooncleat/internal/dir/msgs"

// acceptEvacuations accepts the evacuations in a reply if they are newer than those
// held, and if the control host is in contact with a quorum or their routing table is
// accepted, which is the first one then.
func (p *Poller) acceptEvacuations(a *Accepted, r *msgs.FetchReply, tableAccepted bool) {
	if len(r.Evacuations) == 0 || r.EvacuationsVersion <= p.evacuationsVersion || !r.Current && !tableAccepted {
		return
	}
	p.evacuationsVersion = r.EvacuationsVersion
	a.Evacuations, a.EvacuationsVersion = r.Evacuations, r.EvacuationsVersion
}
