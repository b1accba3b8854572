// Package msgs holds the messages between the hosts of the directory: control
// hosts that agree on the routing table and exchange announcements, and entry
// hosts that fetch both.
package msgs

import (
	"github.com/vmihailenco/msgpack/v5"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// Envelope carries one message. Exactly one of the pointers is set.
type Envelope struct {
	Raft       *raft.Message `msgpack:"raft,omitempty"`
	Hello      *Hello        `msgpack:"hello,omitempty"`
	Welcome    *Welcome      `msgpack:"welcome,omitempty"`
	Order      *Order        `msgpack:"order,omitempty"`
	OrderReply *OrderReply   `msgpack:"orderReply,omitempty"`
	Tell       *Tell         `msgpack:"tell,omitempty"`
	TellReply  *TellReply    `msgpack:"tellReply,omitempty"`
	Sync       *Sync         `msgpack:"sync,omitempty"`
	SyncReply  *SyncReply    `msgpack:"syncReply,omitempty"`
	Fetch      *Fetch        `msgpack:"fetch,omitempty"`
	FetchReply *FetchReply   `msgpack:"fetchReply,omitempty"`
}

// Encode returns the bytes of an envelope. Its messages hold only plain types,
// so an error is a fault of the program.
func Encode(e *Envelope) []byte {
	b, err := msgpack.Marshal(e)
	if err != nil {
		panic(err)
	}
	return b
}

// Decode reads an envelope.
func Decode(b []byte) (*Envelope, error) {
	var e Envelope
	if err := msgpack.Unmarshal(b, &e); err != nil {
		return nil, err
	}
	return &e, nil
}

// Hello asks to be taken into the agreed log.
type Hello struct {
	ID raft.ID `msgpack:"id"`
}

// Welcome answers a Hello with what the host knows of the log.
type Welcome struct {
	Members []raft.ID `msgpack:"members"`
	Leader  raft.ID   `msgpack:"leader"`
}

// Publication is a routing table as it is kept in the agreed log.
type Publication struct {
	Table routes.Table `msgpack:"table"`
	// Source is the text that the operator sent, which is given back unchanged.
	Source []byte `msgpack:"source"`
}

// Order asks the leader to append a publication, or with none to confirm which
// one is the newest.
type Order struct {
	From   raft.ID `msgpack:"from"`
	Number uint64  `msgpack:"number"`
	// Data is an encoded Publication, or empty.
	Data []byte `msgpack:"data"`
}

// OrderReply tells that an order is committed. Data is the encoded newest
// publication when the order was to confirm it.
type OrderReply struct {
	Number uint64 `msgpack:"number"`
	Done   bool   `msgpack:"done"`
	Data   []byte `msgpack:"data"`
}

// Tell hands on an announcement that must not be lost with its receiver.
type Tell struct {
	From   raft.ID      `msgpack:"from"`
	Number uint64       `msgpack:"number"`
	Record fleet.Record `msgpack:"record"`
}

// TellReply says that a Tell is held.
type TellReply struct {
	From   raft.ID `msgpack:"from"`
	Number uint64  `msgpack:"number"`
}

// News is a record as one control host knows it.
type News struct {
	Record fleet.Record `msgpack:"record"`
	// Age is the time since the server announced itself.
	Age    clock.Millis `msgpack:"age"`
	Silent bool         `msgpack:"silent"`
	// Ended says that the incarnation is known to have ended.
	Ended bool `msgpack:"ended"`
}

// Sync asks a control host for the announcements since a position.
type Sync struct {
	From raft.ID `msgpack:"from"`
	// Run names the process whose positions Since counts in.
	Run   uint64 `msgpack:"run"`
	Since uint64 `msgpack:"since"`
}

// SyncReply answers a Sync.
type SyncReply struct {
	From     raft.ID `msgpack:"from"`
	Run      uint64  `msgpack:"run"`
	Position uint64  `msgpack:"position"`
	News     []News  `msgpack:"news"`
	// Loads are the loads that entry hosts report to this control host, by
	// token.
	Loads choose.Shares `msgpack:"loads"`
}

// Fetch asks a control host for what an entry host does not have yet.
type Fetch struct {
	Name string `msgpack:"name"`
	// Number is echoed in the reply.
	Number uint64 `msgpack:"number"`
	// Run names the process whose positions Since counts in.
	Run     uint64 `msgpack:"run"`
	Since   uint64 `msgpack:"since"`
	Version uint64 `msgpack:"version"`
	// Brief asks for no records and no table.
	Brief bool `msgpack:"brief"`
	// Loads are the loads that the entry host brings, by token.
	Loads choose.Shares `msgpack:"loads"`
}

// FetchReply answers a Fetch.
type FetchReply struct {
	Number uint64 `msgpack:"number"`
	// Current says that the control host is in touch with a quorum.
	Current  bool   `msgpack:"current"`
	Run      uint64 `msgpack:"run"`
	Position uint64 `msgpack:"position"`
	News     []News `msgpack:"news"`
	// Silent are the IDs of the servers that no longer announce themselves.
	Silent []string `msgpack:"silent"`
	// Delta leads to the newest table from the one that the host has.
	Delta   *routes.Delta `msgpack:"delta,omitempty"`
	Version uint64        `msgpack:"version"`
	Loads   choose.Shares `msgpack:"loads"`
	// Controls are the addresses of the control hosts.
	Controls []string `msgpack:"controls"`
}
