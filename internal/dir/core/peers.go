package core

import "monsooncleat.example/monsooncleat/internal/dir/msgs"

// addSharing records whether an entry host takes new flows and, unless the fetch is
// brief, adds the list of those that do if it differs from the one that the entry host
// has. While a data centre is evacuated, its entry hosts use the servers of the others,
// so the entry hosts of all data centres are listed.
func (c *Core) addSharing(r *msgs.FetchReply, m *msgs.Fetch) {
	c.peers.Polled(c.now, m.Name, m.Centre, m.Brief, m.Sharing)
	switch {
	case m.Form == msgs.ListForm || m.Brief:
	case c.evacuations.Evacuated() > 0:
		r.Sharing, r.SharingElsewhere, r.SharingVersion = c.peers.AllHosts(c.now, m.Centre, m.SharingVersion)
	default:
		r.Sharing, r.SharingVersion = c.peers.Hosts(c.now, m.Centre, m.SharingVersion)
	}
}

// SharingHosts returns the number of entry hosts that take new flows, in all data
// centres.
func (c *Core) SharingHosts() int { return c.peers.Len(c.now) }

// SharingByCentre returns the number of entry hosts that take new flows, by data centre.
func (c *Core) SharingByCentre() map[string]int { return c.peers.Counts(c.now) }
