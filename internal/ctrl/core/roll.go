package core

import (
	"fmt"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/chain"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
	"monsooncleat.example/monsooncleat/internal/bundle/state"
	"monsooncleat.example/monsooncleat/internal/ctrl/msgs"
	"monsooncleat.example/monsooncleat/internal/wire/codec"
)

// reproposeDelay is how long the leader waits for its own roll-out command to commit
// before it proposes the command again.
const reproposeDelay = 2 * clock.Second

func (c *Core) onPoll(from ReplyHandle, m *msgs.Poll) {
	c.onReport(m.Report)
	r := msgs.PollReply{Current: c.joined && c.node.Current(c.now), Leader: c.leaderAddress()}
	if r.Current {
		releases := c.machine.Releases(m.Position.Centre)
		r.Update = chain.MakeUpdate(m.Position, releases, c.machine)
	}
	c.reply(from, codec.PollReply, r)
}

// onReport records the report of a data centre. If another host is known to be the
// leader, it also forwards the report there.
func (c *Core) onReport(r msgs.Report) {
	if r.Centre == "" {
		return
	}
	c.reports[r.Centre] = receivedReport{r, c.now}
	if c.node.Role() != raft.Leader && c.node.Leader() != "" {
		c.send(hostName(c.node.Leader()), codec.Report, r)
	}
}

// runLeaderTasks promotes learners and advances the roll-out if this host is the
// leader.
func (c *Core) runLeaderTasks() {
	if !c.node.Leads(c.now) {
		return
	}
	c.promote()
	r := c.machine.Rollout()
	if r.Version != c.observedRollout.Version || r.Stage != c.observedRollout.Stage {
		c.observedRollout, c.stageStartedAt, c.rolloutProposedAt = r, c.now, 0
	}
	if r.Version == 0 || r.Finished() || r.Halted {
		return
	}
	if c.rolloutProposedAt != 0 && c.now-c.rolloutProposedAt < reproposeDelay {
		return
	}
	if cmd := c.nextRolloutCommand(r); cmd != nil {
		c.rolloutProposedAt = c.now
		c.propose(0, cmd)
	}
}

// nextRolloutCommand returns the command that releases the next stage or, if a data
// centre of the previous stage runs the version and is unhealthy, the one that halts
// the roll-out. It returns nil while a data centre of the previous stage has not
// reported the version in force and less than the maximum wait has passed since
// stageStartedAt.
func (c *Core) nextRolloutCommand(r state.Rollout) *state.Command {
	step := &state.Command{Kind: state.Step, Version: r.Version, Stage: r.Stage}
	if r.Stage == 0 {
		return step
	}
	for _, centre := range r.Stages[r.Stage-1] {
		rep, known := c.reports[centre]
		reported := known && rep.receivedAt > c.stageStartedAt
		switch {
		case reported && !rep.Healthy && rep.InForce >= r.Version:
			reason := fmt.Sprintf("%s: %s", centre, rep.Reason)
			return &state.Command{Kind: state.Halt, Version: r.Version, Reason: reason}
		case reported && rep.InForce >= r.Version:
			// This data centre runs the version. Check the next one.
		case c.now-c.stageStartedAt < c.maxWait(r.Version):
			return nil
		}
	}
	return step
}

// maxWait returns how long a roll-out of version waits for a data centre that has not
// reported it in force, or 0 if the bundle of the version is not available.
func (c *Core) maxWait(version spec.Version) clock.Millis {
	a := c.machine.Approved(version)
	if a == nil {
		return 0
	}
	b, err := spec.Parse("bundle", a.Text)
	if err != nil {
		return 0
	}
	return b.MaxWait()
}
