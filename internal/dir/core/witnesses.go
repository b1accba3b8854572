package core

import (
	"slices"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// witnessInterval is the least time between two changes of the witnesses alone.
const witnessInterval = clock.Second

// proposeMembers proposes a membership with the witnesses that its voters need, and
// reports whether that was possible.
func (c *Core) proposeMembers(conf raft.Conf) bool {
	conf.Witnesses = c.panel.Select(c.now, c.options.ID, conf.Voters, conf.Witnesses)
	return c.propose(conf)
}

func (c *Core) propose(conf raft.Conf) bool {
	if c.node.ProposeConf(c.now, conf) != nil {
		return false
	}
	c.nextWitnessesAt = c.now + witnessInterval
	return true
}

// updateWitnesses names other witnesses if those of an even number of voters have ended
// or are not spread well. An odd number needs none.
func (c *Core) updateWitnesses() {
	conf := c.node.Conf()
	if len(conf.Voters)%2 != 0 || c.now < c.nextWitnessesAt {
		return
	}
	before := conf.Witnesses
	conf.Witnesses = c.panel.Select(c.now, c.options.ID, conf.Voters, before)
	if !slices.Equal(conf.Witnesses, before) && c.propose(conf) {
		c.logLine("Witnesses named.", "witnesses", conf.Witnesses, "before", before)
	}
}

// noteEndedWitnesses tells the Raft node which witnesses can't decide any more.
func (c *Core) noteEndedWitnesses() {
	for _, id := range c.panel.Ended(c.node.Witnesses()) {
		c.node.MarkLost(c.now, id)
	}
}

// Witnesses returns the number of entry hosts that break ties between the voters.
func (c *Core) Witnesses() int { return len(c.node.Witnesses()) }
