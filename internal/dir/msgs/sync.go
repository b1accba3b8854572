package msgs

import (
	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/watch"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

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
	// Aliases are those of the server. Hosts of earlier builds neither send nor read them.
	Aliases []fleet.Alias `msgpack:"aliases,omitempty"`
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
	// SharingVersion is that of the lists of the receiver that the sender holds, or 0.
	SharingVersion uint64 `msgpack:"sharingVersion,omitempty"`
	// Number identifies the request among those of the sender. It is 0 from hosts of earlier
	// builds.
	Number uint64 `msgpack:"number,omitempty"`
	// CountsWitnesses reports that the sender counts the witnesses of the log. Hosts of
	// earlier builds don't.
	CountsWitnesses bool `msgpack:"countsWitnesses,omitempty"`
	// Witnesses are entry hosts that poll the sender and can be witnesses. They are left
	// out of most requests.
	Witnesses []Witness `msgpack:"witnesses,omitempty"`
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
	// Sharing maps each data centre to the sorted hashes of the names of its entry hosts
	// that polled the replying host and take new flows, and SharingVersion is a hash of
	// these lists. Sharing is left out if the request gave the same version, and both
	// are while the replying host does not know the lists.
	Sharing        map[string][]uint64 `msgpack:"sharing,omitempty"`
	SharingVersion uint64              `msgpack:"sharingVersion,omitempty"`
	// Number is that of the request, or 0 from hosts of earlier builds.
	Number uint64 `msgpack:"number,omitempty"`
}
