// Package state implements the replicated state machine of the control hosts. It
// records which bundles are published and approved, and which version is rolled
// out to which data centre.
package state

import (
	"fmt"

	"monsooncleat.example/monsooncleat/internal/bundle/sign"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
)

// Kind is the type of a command.
type Kind string

// Command kinds. Operators send and sign the first four; the leader proposes
// Step and Halt.
const (
	// Publish adds a bundle as a candidate for its version.
	Publish Kind = "publish"
	// Approve selects one candidate of a version.
	Approve Kind = "approve"
	// Roll starts the roll-out of an approved version.
	Roll Kind = "roll"
	// Resume continues a halted roll-out.
	Resume Kind = "resume"
	// Step releases the version to the data centres of the next stage.
	Step Kind = "step"
	// Halt stops a roll-out after a data centre has reported that it is unhealthy.
	Halt Kind = "halt"
)

// Command is an entry of the replicated log.
type Command struct {
	// ID identifies an operator's command. A retry carries the same id, so that
	// the command is executed once.
	ID       string       `msgpack:"id"`
	Kind     Kind         `msgpack:"kind"`
	Operator string       `msgpack:"operator"`
	Version  spec.Version `msgpack:"version"`
	Digest   spec.Digest  `msgpack:"digest"`
	// Text is the bundle's text, for Publish.
	Text string `msgpack:"text,omitempty"`
	// Stage is the index of the stage, for Step.
	Stage int `msgpack:"stage,omitempty"`
	// Reason tells operators why the roll-out was halted, for Halt.
	Reason    string `msgpack:"reason,omitempty"`
	Signature []byte `msgpack:"signature,omitempty"`
}

// SignedBytes returns the message that the operator signs. An approval covers
// only the version and the digest, because entry hosts verify it from a release,
// which has no command id.
func (c *Command) SignedBytes() []byte {
	if c.Kind == Approve {
		return sign.ApprovalMessage(c.Version, c.Digest)
	}
	return fmt.Appendf(nil, "monsooncleat %s %s %d %s", c.Kind, c.ID, c.Version, c.Digest)
}

// Code is the outcome of a command.
type Code string

// Outcomes of commands.
const (
	// Done means that the command has taken effect, now or before.
	Done Code = "done"
	// Conflict means that another bundle is approved for the version.
	Conflict Code = "conflict"
	// Stale means that the command is out of date, for example because a newer
	// version is approved.
	Stale Code = "stale"
	// Missing means that the bundle is not published or approved, or that the
	// version is not being rolled out.
	Missing Code = "missing"
	// Invalid means that the bundle or command is malformed.
	Invalid Code = "invalid"
	// Forbidden means that the operator is unknown or the signature does not match.
	Forbidden Code = "forbidden"
	// Unavailable means that this control host cannot accept commands. The sender
	// retries with the leader.
	Unavailable Code = "unavailable"
)

// Result is the response to a command.
type Result struct {
	Code    Code         `msgpack:"code"`
	Version spec.Version `msgpack:"version"`
	Digest  spec.Digest  `msgpack:"digest"`
	// ApprovedDigest is the digest of the bundle approved for the version, for
	// Conflict.
	ApprovedDigest spec.Digest `msgpack:"winner,omitempty"`
	// Text is a message for the operator.
	Text string `msgpack:"text,omitempty"`
}
