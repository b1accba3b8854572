package msgs

import (
	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
)

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
	// Data is an encoded Publication or evacuation order, or empty.
	Data []byte `msgpack:"data"`
}

// ProposeReply reports that the entry is committed. Data is the encoded newest
// publication if the entry was empty.
type ProposeReply struct {
	RequestID uint64 `msgpack:"number"`
	Committed bool   `msgpack:"done"`
	Data      []byte `msgpack:"data"`
	// Superseded reports that the entry held an evacuation order that had no effect,
	// because an opposite one had been applied that its receiver did not know.
	Superseded bool `msgpack:"superseded,omitempty"`
	// Evacuations is the encoded state of the evacuations if the entry was empty and
	// there was ever an order.
	Evacuations []byte `msgpack:"evacuations,omitempty"`
}
