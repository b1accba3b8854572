package core

import (
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/evac"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/serve/tokens"
)

// evacuationOrder is an order that waits for a quorum, with the services that it leaves
// short of slots.
type evacuationOrder struct {
	evac.Order
	shortages []evac.Shortage
}

// Evacuate takes a data centre out of service or, if start is false, puts it back. The
// answer is Done once a quorum has the order on disk, also for a repeat, UnknownCentre
// if the data centre does not exist, and Unavailable if the caller must repeat the order
// because no quorum confirmed it or it may contradict a newer one. Base is the value of
// EvacuationBase when the call came in: it may have waited for its turn since.
func (c *Core) Evacuate(now clock.Millis, callID CallID, centre string, start bool, base uint64) {
	c.resumeEvacuations(now)
	c.advance(now)
	known, certain := c.knowsCentre(centre)
	switch {
	case !known && certain:
		c.answer(callID, UnknownCentre, nil)
		return
	case !known:
		c.answer(callID, Unavailable, nil)
		return
	case !start && c.evacuations.MayBeRepeat(now, centre, c.options.RepeatWindow):
		c.logLine("End of an evacuation refused: it may be the repeat of an earlier one, which a start has followed.", "centre", centre)
		c.answer(callID, Unavailable, nil)
		return
	}
	o := &evacuationOrder{Order: evac.Order{Centre: centre, Start: start, Base: base}}
	if start {
		o.shortages = c.shortagesWithout(centre)
	}
	c.submit(&request{callID: callID, data: evac.EncodeEntry(&o.Order), order: o})
}

// EvacuationBase returns the log index of the last order that this host knows.
func (c *Core) EvacuationBase() uint64 { return c.evacuations.Base() }

// ListEvacuations requests the use of all data centres, with the evacuations as
// confirmed by a quorum.
func (c *Core) ListEvacuations(now clock.Millis, callID CallID) {
	c.advance(now)
	c.submit(&request{callID: callID, list: true})
}

// knowsCentre reports whether a data centre exists, and whether that is certain. Without
// a list of all data centres, those of the servers and control hosts count, and a host
// without contact with a quorum may not know all of these.
func (c *Core) knowsCentre(name string) (known, certain bool) {
	if name == "" || len(name) > evac.MaxName {
		return false, true
	}
	if slices.Contains(c.options.Centres, name) || c.evacuations.Known(name) {
		return true, true
	}
	if len(c.options.Centres) > 0 {
		return false, true
	}
	for _, centre := range c.centres {
		known = known || centre == name
	}
	c.list.Fleet().Each(func(s *fleet.Server) { known = known || s.Centre == name })
	return known, known || c.Current()
}

// shortagesWithout returns the services whose demand the servers cannot bear if one more
// data centre is evacuated, and logs them.
func (c *Core) shortagesWithout(centre string) []evac.Shortage {
	short := evac.Shortages(c.serverUse(), func(other string) bool { return other == centre || c.evacuations.Active(other) })
	for _, s := range short {
		c.logLine("Evacuation leaves a service short of slots.", "centre", centre, "service", s.Service, "inFlight", s.InFlight, "slots", s.Slots)
	}
	return short
}

// serverUse returns the servers with the loads that all entry hosts report on them.
func (c *Core) serverUse() []evac.Server {
	loads := c.loads.Sum(c.now)
	servers := make([]evac.Server, 0, c.list.Fleet().Len())
	c.list.Fleet().Each(func(s *fleet.Server) {
		server := evac.Server{Centre: s.Centre, Service: s.Service}
		if s.Usable() {
			server.Slots = s.Slots
		}
		for _, t := range tokens.Candidates(s.ID, s.Started) {
			server.InFlight += float64(loads[uint32(t)].InFlight)
			server.Flows += float64(loads[uint32(t)].Flows)
		}
		servers = append(servers, server)
	})
	return servers
}

// applyOrder applies the order in a committed entry. It reports false if that had no
// effect because a newer order opposes it.
func (c *Core) applyOrder(index uint64, data []byte) bool {
	o, err := evac.DecodeEntry(data)
	if err != nil {
		c.logLine("Cannot decode an evacuation order.", "index", index, "err", err)
		return false
	}
	version := c.evacuations.Version()
	applied := c.evacuations.Apply(c.now, index, o)
	switch {
	case !applied:
		c.logLine("Evacuation order without effect: an opposite one came before it.", "centre", o.Centre, "start", o.Start, "index", index, "base", o.Base)
	case c.evacuations.Version() != version:
		c.logLine("Evacuation changed.", "centre", o.Centre, "evacuated", o.Start, "index", index)
		c.notifyGrants()
	}
	return applied
}

// spreadOrders tells the other control hosts at once that orders are committed, if this
// host leads and there are any: entry hosts learn of them from all control hosts. It
// reports whether there is output of the Raft node to take.
func (c *Core) spreadOrders(committed []raft.Entry) bool {
	if !slices.ContainsFunc(committed, func(e raft.Entry) bool { return evac.IsEntry(e.Data) }) {
		return false
	}
	c.node.SpreadCommit()
	return true
}

// answerEvacuation answers a call that orders or lists evacuations, and reports whether
// the request is one.
func (c *Core) answerEvacuation(r *request, m *msgs.ProposeReply) bool {
	switch {
	case r.order != nil && m.Superseded:
		c.answer(r.callID, Unavailable, nil)
	case r.order != nil:
		if len(r.order.shortages) > 0 {
			c.shortOfRoom++
		}
		c.out.Answers = append(c.out.Answers, Answer{CallID: r.callID, Code: Done, Shortages: r.order.shortages})
	case r.list:
		confirmed := c.evacuations.Clone()
		if err := confirmed.Restore(c.now, m.Evacuations); err != nil {
			c.logLine("Cannot decode the evacuations of the leader.", "err", err)
			c.answer(r.callID, Unavailable, nil)
			return true
		}
		c.out.Answers = append(c.out.Answers, Answer{CallID: r.callID, Code: Done, Uses: confirmed.Uses(c.now, c.serverUse())})
	default:
		return false
	}
	return true
}

// resumeEvacuations handles that the process was suspended since the latest tick, if it
// was.
func (c *Core) resumeEvacuations(now clock.Millis) {
	if now-c.tickedAt > stallThreshold {
		c.evacuations.Resume(c.tickedAt, now, c.options.RepeatWindow)
	}
}

// snapshot is the content of a snapshot of the log: the keys of a msgs.Publication, and
// the evacuations if there was ever an order.
type snapshot struct {
	Table       msgpack.RawMessage `msgpack:"table,omitempty"`
	Source      msgpack.RawMessage `msgpack:"source,omitempty"`
	Evacuations []byte             `msgpack:"evacuations,omitempty"`
}

// snapshotData returns the content of a snapshot of the present state.
func (c *Core) snapshotData() ([]byte, error) {
	data, evacuations := c.tables.Encoded(), c.evacuations.Encode()
	if evacuations == nil {
		return data, nil
	}
	s := snapshot{}
	if len(data) > 0 {
		if err := msgs.Unmarshal(data, &s); err != nil {
			return nil, err
		}
	}
	s.Evacuations = evacuations
	return msgpack.Marshal(&s)
}

// restoreEvacuations puts the evacuations of a snapshot in force, if it has any.
func (c *Core) restoreEvacuations(data []byte) {
	var s snapshot
	err := msgs.Unmarshal(data, &s)
	if err == nil {
		err = c.evacuations.Restore(c.now, s.Evacuations)
	}
	if err != nil {
		c.logLine("Cannot decode the evacuations of a snapshot.", "err", err)
	}
	c.notifyGrants()
}

// notifyGrants tells the grants which evacuations have ended. The servers there are cold.
func (c *Core) notifyGrants() {
	for _, e := range c.evacuations.List(c.now) {
		if !e.Active {
			c.EvacuationEnded(e.Centre, c.now-e.Age)
		}
	}
}

// addEvacuations adds the evacuations to a reply unless the entry host has them.
func (c *Core) addEvacuations(r *msgs.FetchReply, m *msgs.Fetch) {
	r.EvacuationsVersion = c.evacuations.Version()
	if r.EvacuationsVersion > m.EvacuationsVersion {
		r.Evacuations = c.evacuations.List(c.now)
	}
}

// Evacuations returns the data centres that are or were evacuated, as this host knows
// them.
func (c *Core) Evacuations(now clock.Millis) []msgs.Evacuation { return c.evacuations.List(now) }

// Evacuated returns the number of evacuated data centres that this host knows of.
func (c *Core) Evacuated() int { return c.evacuations.Evacuated() }

// ShortOfRoom returns the number of acknowledged starts of evacuations that left a
// service short of slots.
func (c *Core) ShortOfRoom() int { return c.shortOfRoom }
