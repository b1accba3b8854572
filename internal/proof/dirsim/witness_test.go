package dirsim_test

import (
	"fmt"
	"maps"
	"slices"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/agree/attest"
	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/core"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
)

// entryHostCount is the number of entry hosts that can be witnesses, and
// witnessPollInterval the time between their polls.
const (
	entryHostCount      = 5
	witnessPollInterval = 300
)

// witnessHost is an entry host that can be a witness of the log.
type witnessHost struct {
	address string
	centre  string
	// runs counts the starts of the process. Witness is nil while it doesn't run.
	runs    int
	witness *attest.Witness
	// polls counts the polls. It selects the control host.
	polls int
}

// addWitnesses starts entry hosts in all data centres, and polls until the leader can name
// them as witnesses.
func (sim *simulation) addWitnesses() {
	for i := 1; i <= entryHostCount; i++ {
		w := &witnessHost{address: fmt.Sprintf("10.2.0.%d:7000", i), centre: centres[i%len(centres)], polls: i}
		sim.witnesses[w.address] = w
		sim.startWitness(w)
		sim.pollAsWitness(w)
	}
}

// startWitness starts the process of an entry host, with an ID that it never had.
func (sim *simulation) startWitness(w *witnessHost) {
	w.runs++
	w.witness = attest.New(raft.ID(fmt.Sprintf("%s/%04d", w.address, w.runs)), electionTimeout)
}

// restartWitnesses ends the processes of all entry hosts, and starts them again after a
// while.
func (sim *simulation) restartWitnesses(pause clock.Millis) {
	for _, w := range sim.witnesses {
		w.witness = nil
	}
	sim.events.Add(sim.now+pause, func() {
		for _, address := range slices.Sorted(maps.Keys(sim.witnesses)) {
			sim.startWitness(sim.witnesses[address])
		}
	})
}

// pollAsWitness polls one of the control hosts that can be reached, and another one at the
// next time.
func (sim *simulation) pollAsWitness(w *witnessHost) {
	sim.events.Add(sim.now+witnessPollInterval, func() { sim.pollAsWitness(w) })
	hosts := slices.DeleteFunc(sim.liveHosts(), func(addr string) bool { return sim.cutLinks[[2]string{w.address, addr}] })
	if w.witness == nil || len(hosts) == 0 {
		return
	}
	w.polls++
	h := sim.hosts[hosts[w.polls%len(hosts)]]
	m := &msgs.Envelope{Fetch: &msgs.Fetch{Name: w.address, Centre: w.centre, Form: msgs.BlockForm, Brief: true, Sharing: true, Witness: w.witness.ID()}}
	sim.events.Add(sim.now+1, func() { sim.dispatch(h, func() { h.core.HandleMessage(sim.now, 0, m) }) })
}

// sendToWitness delivers a datagram to a witness, and its reply, unless the link is cut.
func (sim *simulation) sendToWitness(from string, s core.OutMessage) {
	sim.events.Add(sim.now+sim.witnessDelay(), func() {
		w := sim.witnesses[s.Address]
		if w == nil || w.witness == nil || sim.cutLinks[[2]string{w.address, from}] {
			return
		}
		e, err := msgs.Decode(s.Body)
		sim.c.Assert(err, qt.IsNil)
		reply, ok := w.witness.Step(sim.now, e.Raft)
		if !ok {
			return
		}
		sim.checkWitnessVote(&reply)
		sim.events.Add(sim.now+sim.witnessDelay(), func() {
			if h := sim.hosts[from]; h != nil {
				sim.dispatch(h, func() { h.core.HandleMessage(sim.now, 0, &msgs.Envelope{Raft: &reply}) })
			}
		})
	})
}

// witnessDelay draws from a source of its own, so that the delays between the control hosts
// are the same with witnesses and without them.
func (sim *simulation) witnessDelay() clock.Millis {
	if sim.slowRate > 0 && sim.witnessRand.Float64() < sim.slowRate {
		return clock.Millis(sim.witnessRand.IntN(maxDelay))
	}
	return 1 + clock.Millis(sim.witnessRand.IntN(2))
}

// checkWitnessVote records a violation if a witness has voted for two candidates in one
// term.
func (sim *simulation) checkWitnessVote(m *raft.Message) {
	if m.Kind != raft.KindVoteReply || !m.Granted {
		return
	}
	key := vote{string(m.From), m.Term}
	if other, known := sim.votes[key]; known && other != m.To {
		sim.recordViolation("witness %s voted for %s and %s in term %d", m.From, other, m.To, m.Term)
	}
	sim.votes[key] = m.To
}

// cutFromWitnesses cuts or restores the links between a host and all entry hosts.
func (sim *simulation) cutFromWitnesses(addr string, cut bool) {
	for w := range sim.witnesses {
		sim.cutLinks[[2]string{w, addr}] = cut
	}
}
