package core

import (
	"monsooncleat.example/monsooncleat/internal/agree/write"
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

// Output is the work that the caller performs after a step.
type Output struct {
	// Batch is what to write to the log.
	write.Batch
	// SendAfterSync holds the messages to send once Batch is synced.
	SendAfterSync []OutMessage
	// DatagramsAfterSync holds the messages to witnesses to send likewise, in datagrams.
	DatagramsAfterSync []OutMessage

	// Lists is saved beside Batch, whose messages don't wait for it.
	Lists Lists
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

// Lists are what a host saves for its next start. Lists of later steps replace earlier ones.
type Lists struct {
	// Servers is the encoded list of servers, or nil.
	Servers []byte
	// EntryHosts are the encoded addresses of entry hosts, or nil.
	EntryHosts []byte
	// SendAfterSave and AnswersAfterSave hold the messages to send and the answers to
	// deliver once Servers and the lists of earlier steps are saved.
	SendAfterSave    []OutMessage
	AnswersAfterSave []Answer
}

// NeedsSync reports whether there is anything to write to the log, or to send after that.
func (o *Output) NeedsSync() bool {
	return !o.Batch.Empty() || len(o.SendAfterSync) > 0 || len(o.DatagramsAfterSync) > 0
}

// Merge adds what a later step writes to the log, and what it sends after that. It reports false,
// and changes nothing, if that has to be written on its own. Lists stay apart.
func (o *Output) Merge(later *Output) bool {
	if !o.Batch.Merge(&later.Batch) {
		return false
	}
	o.SendAfterSync = append(o.SendAfterSync, later.SendAfterSync...)
	o.DatagramsAfterSync = append(o.DatagramsAfterSync, later.DatagramsAfterSync...)
	return true
}

// Empty reports whether there is nothing to save, and nothing that waits for it.
func (l *Lists) Empty() bool {
	return l.Servers == nil && l.EntryHosts == nil && len(l.SendAfterSave) == 0 && len(l.AnswersAfterSave) == 0
}

// Merge adds the lists of a later step.
func (l *Lists) Merge(later *Lists) {
	if later.Servers != nil {
		l.Servers = later.Servers
	}
	if later.EntryHosts != nil {
		l.EntryHosts = later.EntryHosts
	}
	l.SendAfterSave = append(l.SendAfterSave, later.SendAfterSave...)
	l.AnswersAfterSave = append(l.AnswersAfterSave, later.AnswersAfterSave...)
}

// String returns the code in lower case.
func (c Code) String() string {
	names := [...]string{"none", "done", "unavailable", "missing", "unknownCentre"}
	if int(c) >= len(names) {
		return names[0]
	}
	return names[c]
}
