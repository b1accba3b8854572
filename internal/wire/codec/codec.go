// Package codec encodes the messages that processes exchange as frame bodies:
// one byte for the kind, then the message as a msgpack array.
package codec

import (
	"bytes"
	"errors"

	"github.com/vmihailenco/msgpack/v5"
)

// ErrMalformed is returned for a frame body that is not a valid message.
var ErrMalformed = errors.New("malformed message")

// Kind is the type of a message, the first byte of its frame body.
type Kind uint8

// Kinds of messages to and from control hosts.
const (
	Raft Kind = iota + 1
	JoinRequest
	JoinReply
	Report
	Command
	CommandReply
	Status
	StatusReply
	Poll
	PollReply
	MemberChange
)

// Kinds of messages between entry hosts.
const (
	Ping Kind = iota + 32
	Ack
	PingReq
	Sync
	SyncReply
	Exceptions
	LeaseRequest
	LeaseGrant
	Pull
	PullReply
	MemberInfo
	Applied
	LeaseTransfer
)

// Encode returns the frame body of message v. It panics when v cannot be
// encoded, which cannot happen for the message types of this module.
func Encode(kind Kind, v any) []byte {
	var buf bytes.Buffer
	buf.WriteByte(byte(kind))
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		panic("codec: encode message: " + err.Error())
	}
	return buf.Bytes()
}

// KindOf returns the kind of the message in body, or zero when body is empty.
func KindOf(body []byte) Kind {
	if len(body) == 0 {
		return 0
	}
	return Kind(body[0])
}

// Decode returns the message of type T in body, or ErrMalformed. It does not
// check the kind.
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
