package core

import "monsooncleat.example/monsooncleat/internal/dir/msgs"

// advertise tells the entry hosts that were known before the start that this host is
// up, and saves their addresses for the next one.
func (c *Core) advertise() {
	if due := c.entryHosts.Due(c.now); len(due) > 0 {
		c.out.Advert = msgs.Encode(&msgs.Envelope{Advert: &msgs.Advert{Address: addressOf(c.options.ID)}})
		c.out.AdvertTo = due
	}
	saved, err := c.entryHosts.Save(c.now)
	if err != nil {
		c.logLine("Cannot encode the addresses of entry hosts.", "err", err)
	} else if saved != nil {
		c.out.Lists.EntryHosts = saved
	}
}

// LoadEntryHosts loads the addresses of entry hosts that were saved before a restart.
func (c *Core) LoadEntryHosts(saved []byte) error { return c.entryHosts.Load(saved) }
