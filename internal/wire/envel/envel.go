// Package envel defines the envelope of the requests and answers that callers
// and backend servers exchange in UDP datagrams.
package envel

import (
	"errors"

	"github.com/vmihailenco/msgpack/v5"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// MaxSize is the largest encoded envelope in bytes.
const MaxSize = 8 << 10

// maxID is the longest request id in bytes.
const maxID = 64

// ErrMalformed is returned for bytes that hold no valid envelope.
var ErrMalformed = errors.New("malformed envelope")

// Outcome is the closed set of endings of a request.
type Outcome uint8

// Outcomes. The zero value is no outcome.
const (
	Answered Outcome = iota + 1
	// NotRun says that the request certainly did not run.
	NotRun
	// Unknown says that the request may have run.
	Unknown
)

// String returns the outcome as docs and reports spell it.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "notRun"
	case Unknown:
		return "unknown"
	default:
		return "none"
	}
}

// Request is what a caller sends, and what the home passes to a server.
type Request struct {
	// ID names the request. A resend carries the same ID.
	ID string `msgpack:"id"`
	// Try counts the times that the caller came back after notRun. A resend
	// of the same try carries the same number.
	Try uint32 `msgpack:"try,omitempty"`
	// Attempt names one sending to a server. Callers leave it zero.
	Attempt uint64 `msgpack:"attempt,omitempty"`
	// Caller is the caller's IP address, which the home fills in.
	Caller string `msgpack:"caller,omitempty"`
	// Idempotent says that running the request twice does no harm.
	Idempotent bool `msgpack:"idempotent"`
	// Since is the time that has passed since the first send.
	Since clock.Millis `msgpack:"since"`
	// Deadline is the time left for an answer to be of use.
	Deadline clock.Millis `msgpack:"deadline"`
	// Cancel asks the server how the attempt ended, and to forget it if it
	// has not begun.
	Cancel bool `msgpack:"cancel,omitempty"`
	// Body is the request itself.
	Body []byte `msgpack:"body"`
}

// Answer is what a server returns, and what the home passes to the caller.
type Answer struct {
	// ID, Try and Attempt are those of the request that is answered.
	ID      string `msgpack:"id"`
	Try     uint32 `msgpack:"try,omitempty"`
	Attempt uint64 `msgpack:"attempt,omitempty"`
	// Outcome is the ending.
	Outcome Outcome `msgpack:"outcome"`
	// RetryAfter is when to come back after NotRun, counted from receipt.
	RetryAfter clock.Millis `msgpack:"retryAfter,omitempty"`
	// InFlight is the server's own count of requests it is running.
	InFlight uint32 `msgpack:"inFlight,omitempty"`
	// Server is the name of the server that answered.
	Server string `msgpack:"server,omitempty"`
	// Body is the answer itself.
	Body []byte `msgpack:"body,omitempty"`
}

// EncodeRequest returns the wire form of r.
func EncodeRequest(r *Request) []byte { return encode(r) }

// EncodeAnswer returns the wire form of a.
func EncodeAnswer(a *Answer) []byte { return encode(a) }

// encode cannot fail for the two envelope types, which hold plain data.
func encode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		return nil
	}
	return b
}

// DecodeRequest parses a request. It returns ErrMalformed for anything else.
func DecodeRequest(b []byte) (*Request, error) {
	var r Request
	if err := decode(b, &r); err != nil {
		return nil, err
	}
	if !validID(r.ID) || r.Since < 0 {
		return nil, ErrMalformed
	}
	return &r, nil
}

// DecodeAnswer parses an answer. It returns ErrMalformed for anything else.
func DecodeAnswer(b []byte) (*Answer, error) {
	var a Answer
	if err := decode(b, &a); err != nil {
		return nil, err
	}
	if !validID(a.ID) || a.Outcome < Answered || a.Outcome > Unknown {
		return nil, ErrMalformed
	}
	return &a, nil
}

func decode(b []byte, v any) error {
	if len(b) > MaxSize || msgpack.Unmarshal(b, v) != nil {
		return ErrMalformed
	}
	return nil
}

func validID(id string) bool { return id != "" && len(id) <= maxID }
