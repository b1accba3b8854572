// Package share keeps the announcements of backend servers on a control host and
// exchanges them with the other control hosts, outside the replicated log: a later
// announcement overrides an earlier one on every host.
//
// The package does no I/O.
package share

import (
	"cmp"
	"errors"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/dir/record"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

const (
	// syncInterval is the time between two exchanges of announcements.
	syncInterval = 300 * clock.Millis(1)
	// expireInterval is the time between two checks for silent servers.
	expireInterval = 500 * clock.Millis(1)
	// saveInterval is the least time between two writes of the server list.
	saveInterval = clock.Second
	// stallGrace is how long no server expires after a start or a stall. It
	// covers one announcement and one exchange between control hosts.
	stallGrace = 2 * clock.Second
)

// Group is the membership of the replicated log as a host sees it.
type Group interface {
	// Self returns the host's own ID.
	Self() raft.ID
	// Voters returns the voters, Members the voters and learners.
	Voters() []raft.ID
	Members() []raft.ID
}

// Services reports whether the routing table in force has a service.
type Services func(service string) bool

// Send sends a message to another control host.
type Send func(to raft.ID, e *msgs.Envelope)

// List holds the known servers of one control host. It is not safe for concurrent
// use.
type List struct {
	group    Group
	send     Send
	services Services
	fleet    *fleet.Fleet
	// runID identifies this run of the process in exchanges.
	runID      uint64
	reuseAfter clock.Millis
	nextSyncAt clock.Millis
	cursors    map[raft.ID]*cursor
	contact    contact

	nextExpireAt clock.Millis
	// noExpireBefore is the end of the grace period after a start or a stall.
	noExpireBefore clock.Millis
	// savedAt is when the list was last returned by Save, and savedPosition the
	// position of the latest change in it.
	savedAt       clock.Millis
	savedPosition uint64
}

// cursor is the position up to which the announcements of another control host have
// been received. It is valid for the run runID of that host only.
type cursor struct {
	runID    uint64
	position uint64
	// entryHosts is the EntryHostsVersion of the latest reply.
	entryHosts uint64
	// answered is set once a reply has arrived, and knownAt is then the time up to which all
	// announcements that the host had received are known.
	answered bool
	knownAt  clock.Millis
}

// NewList returns an empty List. RunID is a random number that identifies this run of
// the process.
func NewList(options fleet.Options, runID uint64, now clock.Millis, group Group, services Services, send Send) *List {
	return &List{
		group: group, send: send, services: services, fleet: fleet.New(options), runID: runID, reuseAfter: options.ReuseAfter,
		contact: newContact(options.SilentAfter, runID),
		cursors: map[raft.ID]*cursor{}, noExpireBefore: now + stallGrace,
	}
}

// Fleet returns the known servers.
func (l *List) Fleet() *fleet.Fleet { return l.fleet }

// Apply merges a record announced at announcedAt, directly to this host or to another one.
// It returns fleet.Stale, and changes nothing, for a service that is not configured, unless
// the server is known with it: a record that names no server to use must not take over the
// ID or the address of one.
func (l *List) Apply(now, announcedAt clock.Millis, r fleet.Record, direct bool) fleet.Outcome {
	if known := l.fleet.Find(r.ID); (known == nil || known.Service != r.Service) && !l.services(r.Service) {
		return fleet.Stale
	}
	return l.fleet.Apply(now, announcedAt, r, direct)
}

// Resume delays the expiry of servers after the process was suspended.
func (l *List) Resume(now clock.Millis) {
	l.noExpireBefore = now + stallGrace
	l.fleet.Resume(now)
}

// SyncDue reports whether the next exchange is due, and schedules the one after it.
func (l *List) SyncDue(now clock.Millis) bool {
	if now < l.nextSyncAt {
		return false
	}
	l.nextSyncAt = now + syncInterval
	return true
}

// RequestSync asks the other members for the announcements since the last exchange.
// Fill adds to the request to each of them what else it carries.
func (l *List) RequestSync(now clock.Millis, fill func(to raft.ID, m *msgs.Sync)) {
	number := l.contact.asked(now)
	for _, id := range l.group.Members() {
		if id == l.group.Self() {
			continue
		}
		at := l.cursorOf(id)
		m := &msgs.Sync{From: l.group.Self(), RunID: at.runID, Since: at.position, EntryHostsVersion: at.entryHosts, Form: msgs.BlockForm, Number: number}
		fill(id, m)
		l.send(id, &msgs.Envelope{Sync: m})
	}
}

func (l *List) cursorOf(id raft.ID) *cursor {
	at := l.cursors[id]
	if at == nil {
		at = &cursor{}
		l.cursors[id] = at
	}
	return at
}

// ReplyToSync returns the announcements that another control host asks for. They
// include the repeated ones, which change nothing but the age, but not those loaded as ready
// at the start: it isn't known when they were made.
func (l *List) ReplyToSync(now clock.Millis, m *msgs.Sync) *msgs.SyncReply {
	r := &msgs.SyncReply{From: l.group.Self(), RunID: l.runID, Position: l.fleet.Position(), Number: m.Number}
	for _, s := range l.fleet.TouchedSince(l.since(m.RunID, m.Since)) {
		if !s.Restored() {
			r.Servers = append(r.Servers, knownStatusOf(now, s))
		}
	}
	if m.Form == msgs.BlockForm && len(r.Servers) > 0 {
		r.Blocks, r.Servers = []msgs.Block{{Data: record.Append(nil, r.Servers)}}, nil
	}
	return r
}

// since returns a position that another host gives for a run of this process, or 0 if
// it is for another run.
func (l *List) since(runID, position uint64) uint64 {
	if runID != l.runID {
		return 0
	}
	return position
}

// Changes returns the servers that changed since a position that an entry host has,
// and the present position.
func (l *List) Changes(now clock.Millis, runID, position uint64) (changed []msgs.ServerStatus, present uint64) {
	for _, s := range l.fleet.ChangedSince(l.since(runID, position)) {
		changed = append(changed, StatusOf(now, s))
	}
	return changed, l.fleet.LastChange()
}

// Silent returns the IDs of the servers that take no new flows because they no longer
// announce themselves, or because another server owns their address, except those that are
// known to have ended.
func (l *List) Silent() []string {
	var out []string
	l.fleet.Each(func(s *fleet.Server) {
		if (s.Silent() || s.Contested()) && !s.Ended() {
			out = append(out, s.ID)
		}
	})
	return out
}

// StatusOf returns the state of a server as it is sent to other hosts.
func StatusOf(now clock.Millis, s *fleet.Server) msgs.ServerStatus {
	return msgs.ServerStatus{Record: s.Record, Age: now - s.LastAnnounced(), Silent: s.Silent(), Ended: s.Ended(), Aliases: s.Aliases(now)}
}

// knownStatusOf returns the state of a server as this host knows it, whether or not entry hosts
// are to count a silent server as such.
func knownStatusOf(now clock.Millis, s *fleet.Server) msgs.ServerStatus {
	status := StatusOf(now, s)
	status.Silent = s.Unheard()
	return status
}

// HandleSyncReply applies the announcements that another control host received. After an
// error, which means that they are malformed, they are requested again.
func (l *List) HandleSyncReply(now clock.Millis, m *msgs.SyncReply) error {
	servers, err := record.All(m.Servers, m.Blocks)
	if err != nil {
		return err
	}
	at := l.cursorOf(m.From)
	at.runID, at.position, at.entryHosts = m.RunID, m.Position, m.EntryHostsVersion
	for i := range servers {
		s := &servers[i]
		if s.Age < 0 || s.Silent {
			continue
		}
		l.Apply(now, now-s.Age, s.Record, false)
		l.fleet.AddAliases(now, &s.Record, s.Aliases)
	}
	if sentAt, known := l.contact.sentAt(m.Number); known {
		at.answered, at.knownAt = true, max(at.knownAt, sentAt)
	}
	return nil
}

// HandleReplication applies a record that another control host replicates.
func (l *List) HandleReplication(now clock.Millis, r fleet.Record) {
	// A Leave for a server that the sender does not know carries only the ID.
	if r.Started == 0 && r.State == fleet.Left {
		l.fleet.Leave(now, r.ID)
		return
	}
	l.Apply(now, now, r, false)
}

// Expire marks as silent the servers that no longer announce themselves, and returns
// them.
func (l *List) Expire(now clock.Millis) []*fleet.Server {
	if now < l.nextExpireAt || now < l.noExpireBefore {
		return nil
	}
	l.nextExpireAt = now + expireInterval
	var out []*fleet.Server
	for _, id := range l.fleet.Expire(now) {
		out = append(out, l.fleet.Find(id))
	}
	return out
}

// Save returns the encoded list if it has changed since the last call of Save or Encode
// and enough time has passed, and else nil. A restarted host loads it, so that it knows
// the servers before they announce themselves again.
func (l *List) Save(now clock.Millis) []byte {
	if l.fleet.LastChange() == l.savedPosition || now-l.savedAt < saveInterval {
		return nil
	}
	return l.Encode(now)
}

// Encode returns the encoded list.
//
// A server whose address another one owns is saved as silent: it takes no flows until it
// announces itself.
func (l *List) Encode(now clock.Millis) []byte {
	l.savedPosition, l.savedAt = l.fleet.LastChange(), now
	var list []msgs.ServerStatus
	l.fleet.Each(func(s *fleet.Server) {
		status := knownStatusOf(now, s)
		status.Silent = status.Silent || s.Contested()
		list = append(list, status)
	})
	return record.Append(nil, list)
}

// Load loads a list that was saved before a restart, by this build or as msgpack by the
// one before. It sets the time of each server's latest announcement to ReuseAfter before
// now, so that a server that no longer announces itself becomes silent.
func (l *List) Load(now clock.Millis, saved []byte) error {
	list, err := record.Decode(saved, 0)
	if errors.Is(err, record.ErrVersion) {
		err = msgpack.Unmarshal(saved, &list)
	}
	if err != nil {
		return err
	}
	l.fleet.Resume(now)
	// The first server at an address owns it.
	slices.SortFunc(list, func(a, b msgs.ServerStatus) int {
		return cmp.Or(cmp.Compare(unusable(&a), unusable(&b)), cmp.Compare(a.Record.ID, b.Record.ID))
	})
	for i := range list {
		l.fleet.Restore(now, now-l.reuseAfter, list[i].Record)
		l.fleet.AddAliases(now, &list[i].Record, list[i].Aliases)
		l.fleet.SetEnded(now, list[i].Record.ID, list[i].Ended)
		l.fleet.SetSilent(now, list[i].Record.ID, list[i].Silent)
	}
	l.savedPosition = l.fleet.LastChange()
	return nil
}

// unusable orders the owners of addresses before the servers that don't own theirs.
func unusable(s *msgs.ServerStatus) int {
	switch {
	case s.Ended || s.Record.State == fleet.Left:
		return 2
	case s.Silent:
		return 1
	}
	return 0
}
