package core

import (
	"fmt"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// noLeaderInterval is the time between two log lines while no leader is known.
const noLeaderInterval = 2 * clock.Second

// status is what logStatus logged last.
type status struct {
	leader  raft.ID
	current bool
	// leaderSeenAt is when this host last knew a leader, and noLeaderAt when it last
	// logged that it knows none.
	leaderSeenAt, noLeaderAt clock.Millis
}

// logStatus logs changes of the leader and of the contact with the quorum and, while
// there is no leader, which voters are silent.
func (c *Core) logStatus() {
	s := &c.status
	if leader := c.node.Leader(); leader != s.leader {
		s.leader = leader
		c.logLine("Leader changed.", "leader", leader, "term", c.node.Term(), "commit", c.node.Commit())
	}
	if current := c.Current(); current != s.current {
		s.current = current
		c.logLine("Contact with the quorum changed.", "current", current, "leader", c.node.Leader())
	}
	switch {
	case s.leader != "":
		s.leaderSeenAt = c.now
	case c.now-max(s.leaderSeenAt, s.noLeaderAt) >= noLeaderInterval:
		s.noLeaderAt = c.now
		c.logLine("No leader is known.", "for", int64(c.now-s.leaderSeenAt), "term", c.node.Term(), "last", c.node.Last(),
			"commit", c.node.Commit(), "confPending", c.node.ConfPending(), "lost", c.node.Lost(), "silence", c.voterSilence())
	}
}

// voterSilence returns the other voters, each with the time in milliseconds since any
// control host last heard from it.
func (c *Core) voterSilence() []string {
	var out []string
	for _, id := range c.node.Conf().Voters {
		if id != c.options.ID {
			out = append(out, fmt.Sprintf("%s=%d", id, c.contacts.Silence(c.now, id)))
		}
	}
	return out
}

// SilentVoters returns the number of voters that no control host has heard from for
// the time after which a voter is removed.
func (c *Core) SilentVoters() int {
	silent := 0
	for _, id := range c.node.Conf().Voters {
		if id != c.options.ID && c.contacts.Silence(c.now, id) >= c.options.EvictAfter {
			silent++
		}
	}
	return silent
}
