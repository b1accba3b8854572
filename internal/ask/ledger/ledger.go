// Package ledger remembers requests by id, so that a resend joins the first
// try and a request that must not run twice does not.
package ledger

import (
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/hash"
	"monsooncleat.example/monsooncleat/internal/base/timers"
	"monsooncleat.example/monsooncleat/internal/wire/envel"
)

// Key names a request: ids are unique for a service and a caller's address.
type Key struct {
	Service string
	Caller  netip.Addr
	ID      string
}

// Hash returns the hash of k on which all hosts agree.
func (k *Key) Hash() uint64 {
	caller := k.Caller.As16()
	return hash.Mix(hash.String(k.Service), hash.Mix(hash.Bytes(caller[:]), hash.String(k.ID)))
}

// Stage is how far a request has come on this host.
type Stage uint8

// Stages.
const (
	// Queued requests have left for no server.
	Queued Stage = iota
	// Sent requests have left for a server.
	Sent
	// Noted requests were passed on for their home, which sent them.
	Noted
	// Done requests have their final outcome.
	Done
)

// String returns the stage in lower case.
func (s Stage) String() string { return [...]string{"queued", "sent", "noted", "done"}[s] }

// Return is where an answer goes: a caller behind a fabric endpoint.
type Return struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
	Origin  netip.AddrPort
}

// maxReturns is the most places that one answer is sent to.
const maxReturns = 4

// Entry is one request.
type Entry struct {
	Key     Key
	Stage   Stage
	Request *envel.Request
	// Body is the hash of the request's body.
	Body    uint64
	Returns []Return
	// Deadline is when an answer is of no more use.
	Deadline clock.Millis
	// Attempt names the latest try; Server is where it went.
	Attempt uint64
	Server  string
	SentAt  clock.Millis
	// Tries counts the servers tried, and Unsure those that did not say that
	// they did not run it.
	Tries     int
	Unsure    int
	Cancelled bool
	Answer    envel.Answer
	expires   clock.Millis
}

// Join adds a place to which the answer goes.
func (e *Entry) Join(r Return) {
	for i := range e.Returns {
		if e.Returns[i].Caller == r.Caller {
			e.Returns[i] = r
			return
		}
	}
	if len(e.Returns) < maxReturns {
		e.Returns = append(e.Returns, r)
	}
}

// Ledger holds the requests of one host. It is not safe for concurrent use.
type Ledger struct {
	entries map[Key]*Entry
	expiry  timers.Queue[Key]
	most    int
}

// New returns a Ledger of at most most requests.
func New(most int) *Ledger { return &Ledger{entries: map[Key]*Entry{}, most: most} }

// Len returns the count of requests held.
func (l *Ledger) Len() int { return len(l.entries) }

// Full reports whether no further request can be held.
func (l *Ledger) Full() bool { return len(l.entries) >= l.most }

// Find returns the request named k, or nil.
func (l *Ledger) Find(k Key) *Entry { return l.entries[k] }

// Add holds e until the given time.
func (l *Ledger) Add(e *Entry, until clock.Millis) {
	l.entries[e.Key] = e
	l.Keep(e, until)
}

// Keep holds e at least until the given time.
func (l *Ledger) Keep(e *Entry, until clock.Millis) {
	if until > e.expires {
		e.expires = until
		l.expiry.Add(until, e.Key)
	}
}

// Remove forgets e.
func (l *Ledger) Remove(e *Entry) { delete(l.entries, e.Key) }

// Expire forgets the requests whose time has come.
func (l *Ledger) Expire(now clock.Millis) {
	for {
		k, ok := l.expiry.Due(now)
		if !ok {
			return
		}
		if e := l.entries[k]; e != nil && e.expires <= now {
			delete(l.entries, k)
		}
	}
}

// Each calls visit for each request held.
func (l *Ledger) Each(visit func(*Entry)) {
	for _, e := range l.entries {
		visit(e)
	}
}
