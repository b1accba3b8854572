// Package codec turns the messages between the system's processes into frame
// bodies: one byte for the kind, then the message as a msgpack array.
package codec

import (
	"bytes"
	"errors"

	"github.com/vmihailenco/msgpack/v5"
)

// ErrMalformed is returned for a body that holds no valid message.
var ErrMalformed = errors.New("malformed message")

// Kind tells the type of a message.
type Kind uint8

// Kinds of messages. Those of control hosts come first.
const (
	Raft Kind = iota + 1
	Hello
	HelloReply
	Report
	Command
	CommandReply
	Status
	StatusReply
	Poll
	PollReply
	Member
)

// Kinds of messages between entry hosts.
const (
	Ping Kind = iota + 32
	Ack
	PingReq
	Sync
	SyncReply
	Exceptions
	LeaseAsk
	LeaseGrant
	Pull
	PullReply
	Tell
	Applied
	LeaseTransfer
)

// Encode returns the body of message v. It panics when v cannot be encoded,
// which no message type of this project allows.
func Encode(kind Kind, v any) []byte {
	var buf bytes.Buffer
	buf.WriteByte(byte(kind))
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		panic("codec: " + err.Error())
	}
	return buf.Bytes()
}

// KindOf returns the kind of body, or zero when body is empty.
func KindOf(body []byte) Kind {
	if len(body) == 0 {
		return 0
	}
	return Kind(body[0])
}

// Decode returns the message of type T in body, or ErrMalformed.
func Decode[T any](body []byte) (*T, error) {
	var v T
	if len(body) < 2 {
		return nil, ErrMalformed
	}
	if err := msgpack.Unmarshal(body[1:], &v); err != nil {
		return nil, ErrMalformed
	}
	return &v, nil
}
