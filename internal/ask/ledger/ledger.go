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

// Attempt is one sending of a request to a server.
type Attempt struct {
	Number uint64
	Server string
	SentAt clock.Millis
	// Open says that the attempt occupies a slot.
	Open bool
	// NotRun says that the server certainly did not run it.
	NotRun bool
}

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
	// Attempts are the sendings to servers, the latest last.
	Attempts []Attempt
	// Inquired says that the servers were asked how the attempts ended.
	Inquired bool
	Answer   envel.Answer
	expires  clock.Millis
}

// Attempt returns the attempt with the given number, or nil.
func (e *Entry) Attempt(number uint64) *Attempt {
	for i := range e.Attempts {
		if e.Attempts[i].Number == number {
			return &e.Attempts[i]
		}
	}
	return nil
}

// MayHaveRun reports whether a server may have run the request.
func (e *Entry) MayHaveRun() bool {
	for i := range e.Attempts {
		if !e.Attempts[i].NotRun {
			return true
		}
	}
	return false
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
