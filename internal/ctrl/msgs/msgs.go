// Package msgs defines the messages of control hosts with each other, with
// entry hosts and with operators.
package msgs

import (
	"fmt"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/bundle/chain"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
	"monsooncleat.example/monsooncleat/internal/bundle/state"
)

// Hello is sent by a control host that is not yet a member of the log.
type Hello struct {
	Name string
	ID   raft.ID
}

// HelloReply tells what the receiver of a Hello knows.
type HelloReply struct {
	Name string
	ID   raft.ID
	// Member says that the sender holds a log; Conf is then the first
	// membership of it.
	Member bool
	First  raft.Conf
}

// CommandReply answers a state.Command.
type CommandReply struct {
	Result state.Result
	// Leader is the address to ask after state.Unavailable, if known.
	Leader string
}

// MemberChange is an operator's change of the control hosts.
type MemberChange struct {
	ID       string
	Operator string
	// Name is the control host to add or remove.
	Name      string
	Remove    bool
	Signature []byte
}

// SignedBytes returns what the operator signs.
func (m *MemberChange) SignedBytes() []byte {
	return fmt.Appendf(nil, "monsooncleat member %s %s %t", m.ID, m.Name, m.Remove)
}

// Status asks for the state of the versions.
type Status struct{}

// StatusReply answers Status.
type StatusReply struct {
	Leads    bool
	Current  bool
	Leader   string
	Term     uint64
	Commit   uint64
	Voters   []raft.ID
	Learners []raft.ID
	Highest  spec.Version
	Rollout  state.Rollout
	Centres  []Centre
}

// Centre is what a control host knows of a data centre.
type Centre struct {
	Name     string
	Released spec.Version
	Seq      uint64
	// InForce is the lowest version in force on its entry hosts.
	InForce spec.Version
	Hosts   int
	Healthy bool
	// SilentFor is how long ago the last report came, or -1 for never.
	SilentFor int64
}

// Poll is sent by the one entry host of a data centre that fetches for all.
type Poll struct {
	Position chain.Position
	Report   Report
}

// PollReply answers Poll.
type PollReply struct {
	// Current says that the control host is in touch with a quorum. Update is
	// only set when it is.
	Current bool
	Leader  string
	Update  *chain.Update
}

// Report tells how the entry hosts of a data centre do.
type Report struct {
	Centre string
	// InForce is the lowest version in force on the entry hosts.
	InForce spec.Version
	Hosts   int
	Healthy bool
	Reason  string
}
