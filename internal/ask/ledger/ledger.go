// Package ledger deduplicates the requests of clients by id. A resent request
// joins the pending one or gets its recorded answer, and a request that is not
// idempotent does not run twice.
package ledger

import (
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/hash"
	"monsooncleat.example/monsooncleat/internal/base/timers"
	"monsooncleat.example/monsooncleat/internal/wire/envel"
)

// Key identifies a request. Ids are unique per service and address of the
// client.
type Key struct {
	Service string
	Client  netip.Addr
	ID      string
}

// Hash returns the hash of k. It is the same on all hosts.
func (k *Key) Hash() uint64 {
	client := k.Client.As16()
	return hash.Mix(hash.String(k.Service), hash.Mix(hash.Bytes(client[:]), hash.String(k.ID)))
}

// Stage is the progress of a request on this host.
type Stage uint8

// Stages.
const (
	// Queued requests wait for a slot of a server.
	Queued Stage = iota
	// Sent requests have been sent to a server.
	Sent
	// Replica requests belong to another host, their home, which sends them to the
	// servers. This host recorded and forwarded them, so that it can take over if
	// the home fails.
	Replica
	// Done requests have their final outcome.
	Done
)

// String returns the name of the stage in lower case, except for Replica, which
// is written as "noted".
func (s Stage) String() string { return [...]string{"queued", "sent", "noted", "done"}[s] }

// ReturnPath holds the addresses by which an answer reaches one client.
type ReturnPath struct {
	Client netip.AddrPort
	// Service is the address to which the client sent the request.
	Service netip.AddrPort
	// Origin is the fabric endpoint through which the client is reached.
	Origin netip.AddrPort
}

// maxReturnPaths is the maximum number of clients that one answer is sent to.
const maxReturnPaths = 4

// Attempt is one transmission of a request to a server.
type Attempt struct {
	// Number identifies the attempt in the server's answer.
	Number uint64
	Server string
	// Try is the try of the client that the attempt belongs to.
	Try    uint32
	SentAt clock.Millis
	// Open is set while the attempt occupies a slot of the server.
	Open bool
	// NotRun is set when it is certain that the server did not run the request.
	NotRun bool
}

// Entry is one request.
type Entry struct {
	Key     Key
	Stage   Stage
	Request *envel.Request
	// BodyHash is the hash of the request's body.
	BodyHash    uint64
	ReturnPaths []ReturnPath
	// Deadline is when the client stops waiting for an answer.
	Deadline clock.Millis
	// Attempts holds the attempts at servers, the latest last.
	Attempts []Attempt
	// Inquired is set once the servers have been asked for the outcomes of the attempts.
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

// Join adds a return path for the answer, or replaces that of the same client.
// Paths beyond maxReturnPaths are ignored.
func (e *Entry) Join(r ReturnPath) {
	for i := range e.ReturnPaths {
		if e.ReturnPaths[i].Client == r.Client {
			e.ReturnPaths[i] = r
			return
		}
	}
	if len(e.ReturnPaths) < maxReturnPaths {
		e.ReturnPaths = append(e.ReturnPaths, r)
	}
}

// Ledger holds the requests of one host. It is not safe for concurrent use.
type Ledger struct {
	entries  map[Key]*Entry
	expiry   timers.Queue[Key]
	capacity int
}

// New returns a Ledger that holds at most capacity requests.
func New(capacity int) *Ledger { return &Ledger{entries: map[Key]*Entry{}, capacity: capacity} }

// Len returns the number of requests held.
func (l *Ledger) Len() int { return len(l.entries) }

// Full reports whether the Ledger is at its capacity.
func (l *Ledger) Full() bool { return len(l.entries) >= l.capacity }

// Find returns the request with the key k, or nil.
func (l *Ledger) Find(k Key) *Entry { return l.entries[k] }

// Add stores e at least until the given time.
func (l *Ledger) Add(e *Entry, until clock.Millis) {
	l.entries[e.Key] = e
	l.Keep(e, until)
}

// Keep extends the expiry of e to the given time. It never shortens it.
func (l *Ledger) Keep(e *Entry, until clock.Millis) {
	if until > e.expires {
		e.expires = until
		l.expiry.Add(until, e.Key)
	}
}

// Remove deletes e.
func (l *Ledger) Remove(e *Entry) { delete(l.entries, e.Key) }

// Expire deletes the requests that have expired.
func (l *Ledger) Expire(now clock.Millis) {
	for {
		k, ok := l.expiry.PopDue(now)
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
