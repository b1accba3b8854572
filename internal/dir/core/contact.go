package core

import "monsooncleat.example/monsooncleat/internal/agree/raft"

// observeContact tells the list of servers whether this host is in contact with a quorum and
// with the other control hosts. A control host that no other one hears from for EvictAfter
// is in contact with no quorum, and acknowledges no announcements.
func (c *Core) observeContact() {
	lost := func(id raft.ID) bool { return c.contacts.Silence(c.now, id) >= c.options.EvictAfter }
	missing, changed := c.list.Observe(c.now, c.Current(), lost, c.options.EvictAfter)
	switch {
	case changed && len(missing) > 0:
		c.logLine("Announcements of other control hosts are missing. No server becomes silent.", "hosts", missing)
	case changed:
		c.logLine("Servers may become silent again.", "current", c.Current())
	}
}

// observeReturn calls observeContact if the host is in contact with a quorum again, before it
// tells anyone.
func (c *Core) observeReturn() {
	if !c.list.Current() && c.Current() {
		c.observeContact()
	}
}
