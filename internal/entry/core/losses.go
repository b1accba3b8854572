package core

import (
	"monsooncleat.example/monsooncleat/internal/entry/loss"
	"monsooncleat.example/monsooncleat/internal/flow/table"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

func (c *Core) noteReset(key *inner.Key, server table.NameID, reason loss.ResetReason) {
	c.out.Losses.AddReset(loss.Reset{Client: key.Src(), Service: key.Dst(), Server: c.interner.Name(server), Reason: reason})
}

// refuse rejects p with an ICMP port unreachable message for UDP, or a reset
// for TCP. Server is the server of its flow, or 0 if it is unknown.
func (c *Core) refuse(p *inner.Packet, in *arrival, server table.NameID, reason loss.ResetReason) {
	if p.Flags&inner.RST != 0 && p.Key.Proto() == inner.TCP {
		return
	}
	c.noteReset(&p.Key, server, reason)
	if p.Key.Proto() == inner.UDP {
		c.send(in.origin, inner.BuildUnreachable(p), nil)
		return
	}
	c.send(in.origin, inner.BuildReset(p), nil)
}
