package core

import "monsooncleat.example/monsooncleat/internal/dir/msgs"

// awaitAnswer notes that a message for the control host at address should be answered,
// and has the host redialed if it has not answered for too long.
//
// A member answers each msgs.Sync. A host that asks to join is no member yet. While it
// goes on asking, neither its requests nor the replies to them have arrived for certain,
// as a msgs.JoinReply does not name its sender.
func (c *Core) awaitAnswer(address string, e *msgs.Envelope) {
	if e.Sync == nil && e.JoinRequest == nil && e.JoinReply == nil {
		return
	}
	if c.answers.Asked(c.now, address) {
		c.logLine("Control host does not answer. It is dialed again.", "address", address)
		c.out.Redials = append(c.out.Redials, address)
	}
}
