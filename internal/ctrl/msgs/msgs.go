// Package msgs defines the messages of the control hosts that distribute bundles.
// They exchange them with each other, with entry hosts and with the operators'
// command-line tool.
package msgs

import (
	"fmt"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/bundle/chain"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
	"monsooncleat.example/monsooncleat/internal/bundle/state"
)

// JoinRequest is sent periodically to all other control hosts by a control host that
// is not in the membership.
type JoinRequest struct {
	Name string
	ID   raft.ID
}

// JoinReply answers a JoinRequest. Name and ID are those of the replying host.
type JoinReply struct {
	Name string
	ID   raft.ID
	// Joined reports whether the replying host has started or joined a log. It
	// may not be in the membership yet.
	Joined bool
	// InitialConf is the membership in the snapshot that the replying host
	// started with. A host that is in it starts its own log with this
	// membership.
	InitialConf raft.Conf
}

// CommandReply answers a state.Command.
type CommandReply struct {
	Result state.Result
	// Leader is the address of the leader to retry at after
	// state.Unavailable, or "" if it is unknown.
	Leader string
}

// MemberChange is a signed request of an operator to add or remove a control host.
type MemberChange struct {
	ID       string
	Operator string
	// Name is the name of the control host.
	Name      string
	Remove    bool
	Signature []byte
}

// SignedBytes returns what the operator signs.
func (m *MemberChange) SignedBytes() []byte {
	return fmt.Appendf(nil, "monsooncleat member %s %s %t", m.ID, m.Name, m.Remove)
}

// Status asks a control host for the state of the log and the versions.
type Status struct{}

// StatusReply answers Status.
type StatusReply struct {
	// Leads reports whether the replying host is the leader with a valid lease.
	Leads bool
	// Current reports whether it is up to date, see raft.Node.Current.
	Current bool
	// Leader is the address of the leader, or "" if it is unknown.
	Leader   string
	Term     uint64
	Commit   uint64
	Voters   []raft.ID
	Learners []raft.ID
	// Highest is the highest approved version.
	Highest spec.Version
	Rollout state.Rollout
	Centres []CentreStatus
}

// CentreStatus is the state of a data centre as seen by a control host.
type CentreStatus struct {
	Name string
	// Released is the version of the latest release, and Seq its sequence number.
	Released spec.Version
	Seq      uint64
	// InForce is the lowest version in force on the entry hosts.
	InForce spec.Version
	// Hosts is the number of live entry hosts.
	Hosts   int
	Healthy bool
	// SilentFor is the time in milliseconds since the latest report, or -1 if
	// there was none.
	SilentFor int64
}

// Poll reports the state of a data centre and asks for new releases. One entry host
// of a data centre sends it on behalf of all.
type Poll struct {
	Position chain.Position
	Report   Report
}

// PollReply answers Poll.
type PollReply struct {
	// Current reports whether the control host is up to date, see
	// raft.Node.Current. Update is set only if it is.
	Current bool
	// Leader is the address of the leader, or "" if it is unknown.
	Leader string
	Update *chain.Update
}

// Report is the health of the entry hosts of a data centre.
type Report struct {
	Centre string
	// InForce is the lowest version in force on the entry hosts.
	InForce spec.Version
	// Hosts is the number of live entry hosts.
	Hosts   int
	Healthy bool
	// Reason says why the data centre is unhealthy.
	Reason string
}
