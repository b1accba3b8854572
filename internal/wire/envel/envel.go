// Package envel encodes the envelopes of the requests and answers that clients
// and backend servers exchange in UDP datagrams through the entry hosts.
package envel

import (
	"errors"

	"github.com/vmihailenco/msgpack/v5"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// MaxSize is the maximum length of an encoded envelope in bytes.
const MaxSize = 8 << 10

// maxID is the maximum length of a request ID in bytes.
const maxID = 64

// ErrMalformed is returned for bytes that are not a valid envelope.
var ErrMalformed = errors.New("malformed envelope")

// Outcome tells whether a request was executed.
type Outcome uint8

// Outcomes. The zero value means that there is no outcome yet.
const (
	// Answered means that the request ran and the answer holds its result.
	Answered Outcome = iota + 1
	// NotRun means that the request certainly did not run.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// String returns the name of the outcome as reports show it.
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

// Request is the envelope that a client sends, and that the home of the request
// forwards to a server.
type Request struct {
	// ID identifies the request, together with the service and the client's IP
	// address. A resend carries the same ID.
	ID string `msgpack:"id"`
	// Try is the number of times that the client sent the request anew after
	// NotRun, zero at first. A resend within one try carries the same number.
	Try uint32 `msgpack:"try,omitempty"`
	// Attempt identifies one delivery to a server. The home sets it; clients
	// leave it zero.
	Attempt uint64 `msgpack:"attempt,omitempty"`
	// Prior are the earlier attempts that the home knows of, set by the home.
	Prior []uint64 `msgpack:"prior,omitempty"`
	// Client is the client's IP address, set by the home.
	Client string `msgpack:"caller,omitempty"`
	// Idempotent means that the request may safely run more than once.
	Idempotent bool `msgpack:"idempotent"`
	// Elapsed is the time elapsed since the client first sent this try.
	Elapsed clock.Millis `msgpack:"since"`
	// Timeout is how long the client still accepts an answer, counted from the
	// sending of this message.
	Timeout clock.Millis `msgpack:"deadline"`
	// Cancel tells the server not to run the attempt if it has not started, and to
	// answer with its outcome.
	Cancel bool `msgpack:"cancel,omitempty"`
	// Body is the application payload.
	Body []byte `msgpack:"body"`
}

// Answer is the envelope that a server returns, and that the home forwards to
// the client.
type Answer struct {
	// ID, Try and Attempt are copied from the request.
	ID      string `msgpack:"id"`
	Try     uint32 `msgpack:"try,omitempty"`
	Attempt uint64 `msgpack:"attempt,omitempty"`
	// Outcome tells whether the request was executed.
	Outcome Outcome `msgpack:"outcome"`
	// RetryAfter is how long the client waits after receipt of NotRun before it
	// retries.
	RetryAfter clock.Millis `msgpack:"retryAfter,omitempty"`
	// InFlight is the number of requests in flight that the server reports.
	InFlight uint32 `msgpack:"inFlight,omitempty"`
	// Server is the name of the server that answered.
	Server string `msgpack:"server,omitempty"`
	// Body is the application payload.
	Body []byte `msgpack:"body,omitempty"`
}

// EncodeRequest returns the wire form of r.
func EncodeRequest(r *Request) []byte { return encode(r) }

// EncodeAnswer returns the wire form of a.
func EncodeAnswer(a *Answer) []byte { return encode(a) }

// encode returns nil on failure, which cannot happen for the two envelope types:
// they hold only plain data.
func encode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		return nil
	}
	return b
}

// DecodeRequest parses and validates a request. It returns ErrMalformed for
// anything else.
func DecodeRequest(b []byte) (*Request, error) {
	var r Request
	if err := decode(b, &r); err != nil {
		return nil, err
	}
	if !validID(r.ID) || r.Elapsed < 0 {
		return nil, ErrMalformed
	}
	return &r, nil
}

// DecodeAnswer parses and validates an answer. It returns ErrMalformed for
// anything else.
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
