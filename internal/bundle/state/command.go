// Package state is the replicated state machine of bundle versions: what was
// published, approved and rolled out to which data centre.
package state

import (
	"fmt"

	"monsooncleat.example/monsooncleat/internal/bundle/sign"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
)

// Kind is the kind of a Command.
type Kind string

// Command kinds. Operators send the first four; the leader proposes the rest.
const (
	Publish Kind = "publish"
	Approve Kind = "approve"
	Roll    Kind = "roll"
	Resume  Kind = "resume"
	// Step puts a version in force in the data centres of one stage.
	Step Kind = "step"
	// Halt stops a roll-out whose data centre reports bad health.
	Halt Kind = "halt"
)

// Command is one entry of the agreed log.
type Command struct {
	// ID is the operator's command id: a resend carries the same one.
	ID       string       `msgpack:"id"`
	Kind     Kind         `msgpack:"kind"`
	Operator string       `msgpack:"operator"`
	Version  spec.Version `msgpack:"version"`
	Digest   spec.Digest  `msgpack:"digest"`
	// Text is the bundle of a Publish.
	Text string `msgpack:"text,omitempty"`
	// Stage is the stage of a Step.
	Stage int `msgpack:"stage,omitempty"`
	// Reason explains a Halt.
	Reason    string `msgpack:"reason,omitempty"`
	Signature []byte `msgpack:"signature,omitempty"`
}

// SignedBytes returns what the operator signs. An approval is signed over
// version and digest alone, so that entry hosts can check it later.
func (c *Command) SignedBytes() []byte {
	if c.Kind == Approve {
		return sign.Approval(c.Version, c.Digest)
	}
	return fmt.Appendf(nil, "monsooncleat %s %s %d %s", c.Kind, c.ID, c.Version, c.Digest)
}

// Code is the closed set of answers to a command.
type Code string

// Codes.
const (
	// Done says that the command took effect, now or at its first sending.
	Done Code = "done"
	// Conflict says that another bundle holds the number; Result.Winner names it.
	Conflict Code = "conflict"
	// Stale says that a newer version stands already.
	Stale Code = "stale"
	// Missing says that no such bundle was published or approved.
	Missing Code = "missing"
	// Invalid says that the bundle or command is malformed.
	Invalid Code = "invalid"
	// Forbidden says that the signature or operator is not accepted.
	Forbidden Code = "forbidden"
	// Unavailable says that this host cannot accept commands; ask the leader.
	Unavailable Code = "unavailable"
)

// Result is the answer to a command.
type Result struct {
	Code    Code         `msgpack:"code"`
	Version spec.Version `msgpack:"version"`
	Digest  spec.Digest  `msgpack:"digest"`
	// Winner is the digest that holds the number after a Conflict.
	Winner spec.Digest `msgpack:"winner,omitempty"`
	Text   string      `msgpack:"text,omitempty"`
}
