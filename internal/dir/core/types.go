package core

import (
	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/dir/evac"
)

// ReplyHandle identifies a received message, so that a reply can be sent on its
// connection.
type ReplyHandle uint64

// CallID identifies a pending call.
type CallID uint64

// OutMessage is an encoded message to another host.
type OutMessage struct {
	// Address is the host's address for messages between control hosts.
	Address string
	Body    []byte
}

// Reply is an encoded reply to a received message.
type Reply struct {
	To   ReplyHandle
	Body []byte
}

// Code is the outcome of a call.
type Code uint8

// Codes.
const (
	// Done means that the call took effect, and that its effect survives the loss
	// of a minority of the control hosts.
	Done Code = iota + 1
	// Unavailable means that no quorum confirmed the call in time. It may still
	// take effect.
	Unavailable
	// Missing means that no routing table has been published yet.
	Missing
	// UnknownCentre means that the order names a data centre that does not exist.
	UnknownCentre
)

// Answer is the result of a call.
type Answer struct {
	CallID CallID
	Code   Code
	// Data is the source text of the newest routing table. Only a successful
	// read returns it.
	Data []byte
	// Shortages are the services whose demand the servers left cannot bear, in the
	// answer to the start of an evacuation.
	Shortages []evac.Shortage
	// Uses are the data centres. Only a successful list of evacuations returns them.
	Uses []evac.Use
}

// Output is the work that the caller performs after a step. State, Install,
// Entries and Snapshot are written and synced in this order.
type Output struct {
	State *raft.HardState
	// Install is a snapshot that replaces the whole log.
	Install *raft.Snapshot
	Entries []raft.Entry
	// Snapshot is the result of a log compaction.
	Snapshot *raft.Snapshot
	// Retained holds the entries that follow Snapshot in the compacted log.
	Retained []raft.Entry
	// SendAfterSync holds the messages to send once all of the above is synced.
	SendAfterSync []OutMessage
	// Servers is the encoded list of servers, saved for the next start. It is written
	// before SendAfterSync and AnswersAfterSync are released.
	Servers []byte
	// AnswersAfterSync holds the answers to deliver once all of the above is synced.
	AnswersAfterSync []Answer

	// EntryHosts are the encoded addresses of entry hosts, saved likewise.
	EntryHosts []byte
	// Advert is a message to send in a datagram to each address in AdvertTo.
	Advert   []byte
	AdvertTo []string

	// Redials are the addresses of control hosts to dial again before SendNow and
	// SendAfterSync are sent, because their connections count as dead.
	Redials []string
	// SendNow holds the messages to send without waiting for the disk. Replies and
	// Answers do not wait for it either.
	SendNow  []OutMessage
	Replies  []Reply
	Answers  []Answer
	LogLines []LogLine
}

// LogLine is a line for the process log.
type LogLine struct {
	Text string
	// Fields are alternating keys and values.
	Fields []any
}

// NeedsDisk reports whether there is anything to write, or to send after a
// write.
func (o *Output) NeedsDisk() bool {
	return o.State != nil || o.Install != nil || len(o.Entries) > 0 || o.Snapshot != nil || len(o.SendAfterSync) > 0 || len(o.AnswersAfterSync) > 0 || o.Servers != nil || o.EntryHosts != nil
}

// String returns the code in lower case.
func (c Code) String() string {
	names := [...]string{"none", "done", "unavailable", "missing", "unknownCentre"}
	if int(c) >= len(names) {
		return names[0]
	}
	return names[c]
}
