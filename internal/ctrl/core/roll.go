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

// reproposeSpan is how long a leader waits for its own proposal to commit
// before it proposes the same step again.
const reproposeSpan = 2 * clock.Second

func (c *Core) onPoll(from Token, m *msgs.Poll) {
	c.onReport(m.Report)
	r := msgs.PollReply{Current: c.member && c.node.Current(c.now), Leader: c.leaderAddress()}
	if r.Current {
		releases := c.machine.Releases(m.Position.Centre)
		r.Update = chain.MakeUpdate(m.Position, releases, c.machine)
	}
	c.reply(from, codec.PollReply, r)
}

// onReport keeps a data centre's report, and passes it to the leader.
func (c *Core) onReport(r msgs.Report) {
	if r.Centre == "" {
		return
	}
	c.reports[r.Centre] = report{r, c.now}
	if c.node.Role() != raft.Leader && c.node.Leader() != "" {
		c.send(nameOf(c.node.Leader()), codec.Report, r)
	}
}

// lead does what only the leader does: it promotes learners and moves the
// roll-out on.
func (c *Core) lead() {
	if !c.node.Leads(c.now) {
		return
	}
	c.promote()
	r := c.machine.Rollout()
	if r.Version != c.stepOf.Version || r.Stage != c.stepOf.Stage {
		c.stepOf, c.stepAt, c.proposedAt = r, c.now, 0
	}
	if r.Version == 0 || r.Finished() || r.Halted {
		return
	}
	if c.proposedAt != 0 && c.now-c.proposedAt < reproposeSpan {
		return
	}
	if cmd := c.nextStep(r); cmd != nil {
		c.proposedAt = c.now
		c.propose(0, cmd)
	}
}

// nextStep returns the command that moves the roll-out on, or nil while the
// stage before is not yet settled.
func (c *Core) nextStep(r state.Rollout) *state.Command {
	step := &state.Command{Kind: state.Step, Version: r.Version, Stage: r.Stage}
	if r.Stage == 0 {
		return step
	}
	for _, centre := range r.Stages[r.Stage-1] {
		rep, known := c.reports[centre]
		heard := known && rep.at > c.stepAt
		switch {
		case heard && !rep.Healthy && rep.InForce >= r.Version:
			reason := fmt.Sprintf("%s: %s", centre, rep.Reason)
			return &state.Command{Kind: state.Halt, Version: r.Version, Reason: reason}
		case heard && rep.InForce >= r.Version:
		case c.now-c.stepAt < c.maxWait(r.Version):
			return nil
		}
	}
	return step
}

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
