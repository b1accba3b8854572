// Package msgs defines the messages of the directory. Control hosts use them to
// agree on the routing table and to exchange announcements, and entry hosts to
// fetch both.
package msgs

import (
	"github.com/vmihailenco/msgpack/v5"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/dir/watch"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// Envelope carries one message. Exactly one of the pointers is set.
type Envelope struct {
	Raft             *raft.Message     `msgpack:"raft,omitempty"`
	JoinRequest      *JoinRequest      `msgpack:"hello,omitempty"`
	JoinReply        *JoinReply        `msgpack:"welcome,omitempty"`
	ResignRequest    *ResignRequest    `msgpack:"resign,omitempty"`
	ResignReply      *ResignReply      `msgpack:"resigned,omitempty"`
	ProposeRequest   *ProposeRequest   `msgpack:"order,omitempty"`
	ProposeReply     *ProposeReply     `msgpack:"orderReply,omitempty"`
	ReplicateRequest *ReplicateRequest `msgpack:"tell,omitempty"`
	ReplicateReply   *ReplicateReply   `msgpack:"tellReply,omitempty"`
	Sync             *Sync             `msgpack:"sync,omitempty"`
	SyncReply        *SyncReply        `msgpack:"syncReply,omitempty"`
	Fetch            *Fetch            `msgpack:"fetch,omitempty"`
	FetchReply       *FetchReply       `msgpack:"fetchReply,omitempty"`
	Advert           *Advert           `msgpack:"advert,omitempty"`
}

// Sender returns the control host that sent the message, or "" if the message does
// not name one.
func (e *Envelope) Sender() raft.ID {
	switch {
	case e.Raft != nil:
		return e.Raft.From
	case e.JoinRequest != nil:
		return e.JoinRequest.ID
	case e.ProposeRequest != nil:
		return e.ProposeRequest.From
	case e.ReplicateRequest != nil:
		return e.ReplicateRequest.From
	case e.ReplicateReply != nil:
		return e.ReplicateReply.From
	case e.Sync != nil:
		return e.Sync.From
	case e.SyncReply != nil:
		return e.SyncReply.From
	default:
		return ""
	}
}

// Encode returns the encoded envelope. The messages hold only types that msgpack
// can encode, so an error is a bug and Encode panics.
func Encode(e *Envelope) []byte {
	b, err := msgpack.Marshal(e)
	if err != nil {
		panic(err)
	}
	return b
}

// fetchKey is the start of an encoded Envelope with a Fetch: a map of one entry, and
// its key.
const fetchKey = "\x81\xa5fetch"

// IsFetch reports whether an encoded envelope holds a Fetch, without decoding it.
func IsFetch(body []byte) bool {
	return len(body) >= len(fetchKey) && string(body[:len(fetchKey)]) == fetchKey
}

// Decode decodes an envelope.
func Decode(b []byte) (*Envelope, error) {
	var e Envelope
	if err := msgpack.Unmarshal(b, &e); err != nil {
		return nil, err
	}
	return &e, nil
}

// JoinRequest asks for the sender to be added to the replicated log.
type JoinRequest struct {
	ID raft.ID `msgpack:"id"`
	// Former are the IDs that the sender had with earlier disks, which are lost.
	Former []raft.ID `msgpack:"former,omitempty"`
}

// JoinReply answers a request to join with the members, those whose removal is not
// committed included, and the leader that the replying host knows. It does not mean
// that the requesting host was added.
type JoinReply struct {
	Members []raft.ID `msgpack:"members"`
	Leader  raft.ID   `msgpack:"leader"`
}

// ResignRequest asks the leader to take the vote of the sender, which stops.
type ResignRequest struct {
	ID raft.ID `msgpack:"id"`
}

// ResignReply reports that a host has no vote in the committed membership.
type ResignReply struct {
	ID raft.ID `msgpack:"id"`
}

// Publication is a routing table as stored in the replicated log.
type Publication struct {
	Table routes.Table `msgpack:"table"`
	// Source is the operator's text, which reads return unchanged.
	Source []byte `msgpack:"source"`
}

// ProposeRequest asks the leader to append an entry to the log. An empty entry
// changes nothing; its commit confirms which publication is the newest.
type ProposeRequest struct {
	From      raft.ID `msgpack:"from"`
	RequestID uint64  `msgpack:"number"`
	// Data is an encoded Publication, or empty.
	Data []byte `msgpack:"data"`
}

// ProposeReply reports that the entry is committed. Data is the encoded newest
// publication if the entry was empty.
type ProposeReply struct {
	RequestID uint64 `msgpack:"number"`
	Committed bool   `msgpack:"done"`
	Data      []byte `msgpack:"data"`
}

// ReplicateRequest replicates an announcement to a voter, so that it survives
// the loss of the control host that received it.
type ReplicateRequest struct {
	From      raft.ID      `msgpack:"from"`
	RequestID uint64       `msgpack:"number"`
	Record    fleet.Record `msgpack:"record"`
}

// ReplicateReply acknowledges a replicated announcement.
type ReplicateReply struct {
	From      raft.ID `msgpack:"from"`
	RequestID uint64  `msgpack:"number"`
}

// ServerStatus is the state of a server as one control host knows it.
type ServerStatus struct {
	Record fleet.Record `msgpack:"record"`
	// Age is the time since the latest announcement.
	Age clock.Millis `msgpack:"age"`
	// Silent reports whether the server no longer announces itself.
	Silent bool `msgpack:"silent"`
	// Ended reports whether the incarnation is known to have ended.
	Ended bool `msgpack:"ended"`
}

// Sync asks a control host for the announcements after a position.
type Sync struct {
	From raft.ID `msgpack:"from"`
	// RunID identifies the run of the receiver's process that Since belongs to.
	RunID uint64 `msgpack:"run"`
	// Since is the Position of the latest reply from the receiver, or 0.
	Since uint64 `msgpack:"since"`
	// ContactAges are the times since the sender last heard, directly or through
	// others, from each control host.
	ContactAges watch.Ages `msgpack:"contactAges"`
	// Centre is the data centre of the sender.
	Centre string `msgpack:"centre,omitempty"`
	// EntryHostsVersion is that of the latest reply from the receiver's run.
	EntryHostsVersion uint64 `msgpack:"entryHostsVersion,omitempty"`
	// Form is the form of the servers that the sender understands.
	Form Form `msgpack:"form,omitempty"`
}

// SyncReply returns the announcements after a position, and the replying host's
// position and run.
type SyncReply struct {
	From  raft.ID `msgpack:"from"`
	RunID uint64  `msgpack:"run"`
	// Position counts the server changes, and the announcements received directly
	// from servers, that the replying host has recorded in this run.
	Position uint64 `msgpack:"position"`
	// Servers holds the announcements in ListForm, Blocks those in BlockForm.
	Servers []ServerStatus `msgpack:"news,omitempty"`
	Blocks  []Block        `msgpack:"blocks,omitempty"`
	// Loads are the sums, by server token, of the loads that entry hosts reported
	// to the replying host.
	Loads choose.Loads `msgpack:"loads"`
	// EntryHosts are the addresses for adverts of the entry hosts that polled the
	// replying host, left out if the request gave their EntryHostsVersion.
	EntryHosts        []string `msgpack:"entryHosts,omitempty"`
	EntryHostsVersion uint64   `msgpack:"entryHostsVersion,omitempty"`
}

// Advert tells an entry host, in a datagram, that a control host is up.
type Advert struct {
	// Address is the address of the control host for messages.
	Address string `msgpack:"address"`
}

// Fetch asks a control host for all changes after a position and a version of
// the routing table.
type Fetch struct {
	// Name is the name of the entry host.
	Name string `msgpack:"name"`
	// RequestID is echoed in the reply.
	RequestID uint64 `msgpack:"number"`
	// RunID identifies the run of the receiver's process that Since belongs to.
	RunID uint64 `msgpack:"run"`
	// Since is the highest Position received from that run, or 0.
	Since uint64 `msgpack:"since"`
	// Version is the version of the entry host's routing table, or 0.
	Version uint64 `msgpack:"version"`
	// Brief asks for the control host's state and the silent servers only.
	Brief bool `msgpack:"brief"`
	// Loads are the entry host's own loads, by server token.
	Loads choose.Loads `msgpack:"loads"`

	// Form is the form of the reply that the entry host understands. The fields below
	// are for BlockForm.
	Form Form `msgpack:"form,omitempty"`
	// Part is the part of the server list to return.
	Part Part `msgpack:"part,omitempty"`
	// Centre is the data centre of the entry host.
	Centre string `msgpack:"centre,omitempty"`
	// SilentVersion and HostsVersion are those of the latest reply from that run.
	SilentVersion uint64 `msgpack:"silentVersion,omitempty"`
	HostsVersion  uint64 `msgpack:"hostsVersion,omitempty"`
	// Adverts is the address where the entry host receives datagrams with an Advert.
	// It is set in the first requests to a run only.
	Adverts string `msgpack:"adverts,omitempty"`
	// AllLoads asks for the loads in all data centres, besides the own one.
	AllLoads bool `msgpack:"allLoads,omitempty"`
}

// Form is the form of a FetchReply or SyncReply.
type Form uint8

const (
	// ListForm replies hold the servers as a list, and the loads for an entry host
	// without its own. Hosts of earlier builds know no other form.
	ListForm Form = iota
	// BlockForm replies hold the servers, and what is the same for many entry hosts, in
	// encoded form.
	BlockForm
)

// Part is a part of the server list.
type Part uint8

const (
	// AllParts are the changes since a position, or all servers without one.
	AllParts Part = iota
	// LocalPart is all servers of the entry host's data centre.
	LocalPart
	// RestPart is all servers of other data centres, and the changes since the
	// position of the reply with LocalPart.
	RestPart
)

// Block is a part of the server list, encoded by package record.
type Block struct {
	_msgpack struct{} `msgpack:",as_array"`

	Data []byte
	// Age is the time since Data was encoded.
	Age clock.Millis
}

// CentreLoads are the loads on the servers of one data centre.
type CentreLoads struct {
	_msgpack struct{} `msgpack:",as_array"`

	Centre string
	// Loads is encoded by choose.Loads.Append.
	Loads []byte
}

// EncodeDelta returns the encoded form of a delta, for FetchReply.
func EncodeDelta(d *routes.Delta) msgpack.RawMessage {
	b, err := msgpack.Marshal(d)
	if err != nil {
		panic(err)
	}
	return b
}

// TableDelta decodes Delta. It returns nil if there is none.
func (r *FetchReply) TableDelta() (*routes.Delta, error) {
	if len(r.Delta) == 0 {
		return nil, nil
	}
	var d routes.Delta
	if err := msgpack.Unmarshal(r.Delta, &d); err != nil {
		return nil, err
	}
	return &d, nil
}

// FetchReply returns what changed, and the state of the control host.
type FetchReply struct {
	RequestID uint64 `msgpack:"number"`
	// Current reports whether the control host is in contact with a quorum and has
	// applied all that the leader is known to have committed.
	Current bool   `msgpack:"current"`
	RunID   uint64 `msgpack:"run"`
	// Position is the position of the latest change that the reply covers, or 0 in the
	// reply to a brief Fetch.
	Position uint64         `msgpack:"position"`
	Servers  []ServerStatus `msgpack:"news,omitempty"`
	// SilentServers are the IDs of the servers that no longer announce themselves,
	// except those whose incarnation is known to have ended.
	SilentServers []string `msgpack:"silent,omitempty"`
	// Delta is an encoded routes.Delta that leads from the entry host's routing table
	// to the newest one.
	Delta msgpack.RawMessage `msgpack:"delta,omitempty"`
	// Version is the version of the newest routing table.
	Version uint64 `msgpack:"version"`
	// Loads are the sums, by server token, of the loads that entry hosts reported
	// to any control host, without those that the requesting entry host reported
	// to the replying one.
	Loads choose.Loads `msgpack:"loads,omitempty"`
	// ControlHosts are the addresses of the control hosts.
	ControlHosts []string `msgpack:"controls,omitempty"`

	// Form is the form of this reply. The fields below are for BlockForm.
	Form Form `msgpack:"form,omitempty"`
	// Part is the part of the server list that Blocks hold.
	Part   Part    `msgpack:"part,omitempty"`
	Blocks []Block `msgpack:"blocks,omitempty"`
	// SilentVersion numbers the sets of silent servers of this run. If the request
	// gave the same, SilentServers is left out.
	SilentVersion uint64 `msgpack:"silentVersion,omitempty"`
	// HostsVersion is a hash of the control hosts. If the request gave the same,
	// ControlHosts is left out.
	HostsVersion uint64 `msgpack:"hostsVersion,omitempty"`
	// ControlCentres are the data centres of ControlHosts, "" where it is unknown.
	ControlCentres []string `msgpack:"controlCentres,omitempty"`
	// Totals are the sums of all loads, with those of the requesting host in its
	// request ReportID, or without any if that is 0.
	Totals   []CentreLoads `msgpack:"totals,omitempty"`
	ReportID uint64        `msgpack:"reportID,omitempty"`
	// RetryAfter is set if the control host is too busy to answer the request, and
	// tells when to ask again. All other fields but RequestID are unset then.
	RetryAfter clock.Millis `msgpack:"retryAfter,omitempty"`
}
