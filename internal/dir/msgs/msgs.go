// Package msgs defines the messages of the directory. Control hosts use them to
// agree on the routing table and to exchange announcements, and entry hosts to
// fetch both.
package msgs

import (
	"github.com/vmihailenco/msgpack/v5"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
)

// Envelope carries one message. Exactly one of the pointers is set.
type Envelope struct {
	Raft             *raft.Message     `msgpack:"raft,omitempty"`
	JoinRequest      *JoinRequest      `msgpack:"hello,omitempty"`
	JoinReply        *JoinReply        `msgpack:"welcome,omitempty"`
	ResignRequest    *ResignRequest    `msgpack:"resign,omitempty"`
	ResignReply      *ResignReply      `msgpack:"resigned,omitempty"`
	ProposeRequest   *ProposeRequest   `msgpack:"order,omitempty"`
	ProposeReply     *ProposeReply     `msgpack:"orderReply,omitempty"`
	ReplicateRequest *ReplicateRequest `msgpack:"tell,omitempty"`
	ReplicateReply   *ReplicateReply   `msgpack:"tellReply,omitempty"`
	Sync             *Sync             `msgpack:"sync,omitempty"`
	SyncReply        *SyncReply        `msgpack:"syncReply,omitempty"`
	Fetch            *Fetch            `msgpack:"fetch,omitempty"`
	FetchReply       *FetchReply       `msgpack:"fetchReply,omitempty"`
	Advert           *Advert           `msgpack:"advert,omitempty"`
}

// Sender returns the control host that sent the message, or "" if the message does
// not name one.
func (e *Envelope) Sender() raft.ID {
	switch {
	case e.Raft != nil:
		return e.Raft.From
	case e.JoinRequest != nil:
		return e.JoinRequest.ID
	case e.ProposeRequest != nil:
		return e.ProposeRequest.From
	case e.ReplicateRequest != nil:
		return e.ReplicateRequest.From
	case e.ReplicateReply != nil:
		return e.ReplicateReply.From
	case e.Sync != nil:
		return e.Sync.From
	case e.SyncReply != nil:
		return e.SyncReply.From
	default:
		return ""
	}
}

// Encode returns the encoded envelope. The messages hold only types that msgpack
// can encode, so an error is a bug and Encode panics.
func Encode(e *Envelope) []byte {
	b, err := msgpack.Marshal(e)
	if err != nil {
		panic(err)
	}
	return b
}

// fetchKey is the start of an encoded Envelope with a Fetch: a map of one entry, and
// its key.
const fetchKey = "\x81\xa5fetch"

// IsFetch reports whether an encoded envelope holds a Fetch, without decoding it.
func IsFetch(body []byte) bool {
	return len(body) >= len(fetchKey) && string(body[:len(fetchKey)]) == fetchKey
}

// Decode decodes an envelope.
func Decode(b []byte) (*Envelope, error) {
	var e Envelope
	if err := Unmarshal(b, &e); err != nil {
		return nil, err
	}
	return &e, nil
}
