package core

import "monsooncleat.example/monsooncleat/internal/agree/raft"

// Token names the connection that a message came from.
type Token uint64

// Ticket names a call that waits for its Answer.
type Ticket uint64

// Send is a message to the host at an address.
type Send struct {
	Address string
	Body    []byte
}

// Reply is a message back on a connection.
type Reply struct {
	To   Token
	Body []byte
}

// Code is the outcome of a call.
type Code uint8

// Codes.
const (
	// Done means that the call took effect and that its effect is not lost with
	// a minority of the control hosts.
	Done Code = iota + 1
	// Unavailable means that no quorum answered in time. The call may still
	// take effect.
	Unavailable
	// Missing means that there is nothing to read yet.
	Missing
)

// Answer ends a call.
type Answer struct {
	Ticket Ticket
	Code   Code
	// Data is the source of the newest routing table, for a read.
	Data []byte
}

// Out is what the caller does after a step: it stores and syncs State,
// Install, Entries and Snapshot and then sends Sends. Prompt, Replies and
// Answers wait for nothing.
type Out struct {
	State    *raft.HardState
	Install  *raft.Snapshot
	Entries  []raft.Entry
	Snapshot *raft.Snapshot
	// After are the entries that stay behind Snapshot.
	After []raft.Entry
	Sends []Send
	// Servers is the encoded list of servers, to be kept for the next start. It
	// may be lost.
	Servers []byte

	Prompt  []Send
	Replies []Reply
	Answers []Answer
	Notes   []Note
}

// Note is a change of what the host believes, for the logs.
type Note struct {
	Text   string
	Fields []any
}

// Stores reports whether the disk has work.
func (o *Out) Stores() bool {
	return o.State != nil || o.Install != nil || len(o.Entries) > 0 || o.Snapshot != nil || len(o.Sends) > 0 || o.Servers != nil
}

// String returns the code in lower case.
func (c Code) String() string {
	names := [...]string{"none", "done", "unavailable", "missing"}
	if int(c) >= len(names) {
		return names[0]
	}
	return names[c]
}
