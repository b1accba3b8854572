package msgs

import (
	"github.com/vmihailenco/msgpack/v5"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

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

	// EvacuationsVersion is the version of the evacuations that the entry host holds, or
	// 0. Unlike the versions above it is the same on all control hosts.
	EvacuationsVersion uint64 `msgpack:"evacuationsVersion,omitempty"`
	// Sharing reports that the entry host takes new flows: it is ready and not stopping.
	Sharing bool `msgpack:"sharing,omitempty"`
	// SharingVersion is that of the list that the entry host holds, or 0. It is the same
	// on all control hosts.
	SharingVersion uint64 `msgpack:"sharingVersion,omitempty"`
	// Instance is a random number that identifies the run of the entry host's process,
	// or 0 if the host takes no grants. A process with the same name has another one.
	Instance uint64 `msgpack:"instance,omitempty"`
	// Witness is the ID of the entry host as a witness of the log, for messages in
	// datagrams, or "" if it can't be one.
	Witness raft.ID `msgpack:"witness,omitempty"`
}

// Witness is an entry host that can be a witness of the log.
type Witness struct {
	_msgpack struct{} `msgpack:",as_array"`

	// ID is "address/run". The run of a process started later is greater.
	ID     raft.ID
	Centre string
	// Sharing is that of its latest Fetch, and Age the time since then.
	Sharing bool
	Age     clock.Millis
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
	if err := Unmarshal(r.Delta, &d); err != nil {
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
	// SilentServers are the IDs of the servers that take no new flows because they no
	// longer announce themselves, or because another server owns their address, except
	// those whose incarnation is known to have ended.
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

	// Evacuations are the states of the data centres that were ever evacuated, and
	// EvacuationsVersion the log index of the last order that changed them. If the
	// request gave the same version, Evacuations is left out.
	Evacuations        []Evacuation `msgpack:"evacuations,omitempty"`
	EvacuationsVersion uint64       `msgpack:"evacuationsVersion,omitempty"`
	// Sharing are the sorted hashes of the names of the entry hosts of the requesting
	// host's data centre that take new flows, and SharingVersion a hash of that list.
	// Both are left out if the request gave the same version, or if the control host
	// does not know the list yet.
	Sharing        []uint64 `msgpack:"sharing,omitempty"`
	SharingVersion uint64   `msgpack:"sharingVersion,omitempty"`
	// SharingElsewhere maps each other data centre to such a list of its entry hosts. It
	// is sent with Sharing, and only while a data centre is evacuated. SharingVersion is
	// then a hash of the lists of all data centres.
	SharingElsewhere map[string][]uint64 `msgpack:"sharingElsewhere,omitempty"`
	// Grants are the requests that the entry host may open on cold servers.
	Grants []Grant `msgpack:"grants,omitempty"`
}

// Evacuation is the state of a data centre that is or was evacuated.
type Evacuation struct {
	_msgpack struct{} `msgpack:",as_array"`

	Centre string
	// Active reports whether the data centre is evacuated now.
	Active bool
	// Age is the time since the last change, as the sending host knows it. A host that
	// was restarted counts it from then.
	Age clock.Millis
	// Changed is the log index of the last change.
	Changed uint64
}

// Grant allows an entry host to open flows on a cold server for a limited time.
type Grant struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Token is the token of the server.
	Token uint32
	// Rate is in requests a second.
	Rate float32
	// Term is how long the grant holds after the request that it answers was sent.
	Term clock.Millis
}
