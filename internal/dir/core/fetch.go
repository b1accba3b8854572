package core

import (
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/hash"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
)

// onFetch replies to an entry host with the state of this host and the silent
// servers and, unless the fetch is brief, with the changes since the last fetch.
func (c *Core) onFetch(from ReplyHandle, m *msgs.Fetch) {
	c.observeReturn()
	if m.Witness != "" {
		c.panel.Polled(c.now, msgs.Witness{ID: m.Witness, Centre: m.Centre, Sharing: m.Sharing})
	}
	r := &msgs.FetchReply{RequestID: m.RequestID, Current: c.Current(), RunID: c.options.RunID, Version: c.tables.Version(), Form: m.Form}
	if !m.Brief {
		c.entryHosts.Polled(c.now, m.Adverts)
		c.loads.SetReport(c.now, m.Name, m.RequestID, m.Loads)
		r.Delta = c.tables.DeltaSince(m.Version)
		c.addGrants(r, m)
	}
	c.addSharing(r, m)
	c.addEvacuations(r, m)
	if m.Form == msgs.ListForm {
		c.addLists(r, m)
	} else {
		c.addBlocks(r, m)
	}
	c.reply(from, &msgs.Envelope{FetchReply: r})
}

// addLists adds the servers, loads and control hosts for an entry host of an earlier
// build.
func (c *Core) addLists(r *msgs.FetchReply, m *msgs.Fetch) {
	r.SilentServers, _ = c.blocks.Silent()
	if m.Brief {
		return
	}
	r.Loads = c.loads.TotalWithout(c.now, m.Name)
	r.Servers, r.Position = c.list.Changes(c.now, m.RunID, m.Since)
	r.ControlHosts, _ = c.controlHosts()
}

// addBlocks adds the silent servers and the control hosts if they differ from those of
// the latest reply and, unless the fetch is brief, the servers and the total loads.
func (c *Core) addBlocks(r *msgs.FetchReply, m *msgs.Fetch) {
	sameRun := m.RunID == c.options.RunID
	silent, version := c.blocks.Silent()
	if r.SilentVersion = version; !sameRun || version != m.SilentVersion {
		r.SilentServers = silent
	}
	addresses, centres := c.controlHosts()
	if r.HostsVersion = hostsVersion(addresses, centres); !sameRun || r.HostsVersion != m.HostsVersion {
		r.ControlHosts, r.ControlCentres = addresses, centres
	}
	if m.Brief {
		return
	}
	r.Blocks, r.Part, r.Position = c.blocks.Part(c.now, m.Part, m.Centre, m.RunID, m.Since)
	totals, reportID := c.loads.Totals(c.now, m.Name, c.blocks.CentreOf)
	r.ReportID = reportID
	local := func(t msgs.CentreLoads) bool { return t.Centre == m.Centre }
	if !slices.ContainsFunc(totals, local) {
		r.Totals = append(r.Totals, msgs.CentreLoads{Centre: m.Centre})
	}
	for _, t := range totals {
		if m.AllLoads || local(t) {
			r.Totals = append(r.Totals, t)
		}
	}
}

// controlHosts returns the addresses of the members of the log, and their data centres,
// "" where it is not known yet.
func (c *Core) controlHosts() (addresses, centres []string) {
	for _, id := range c.node.Conf().Members() {
		address := addressOf(id)
		addresses, centres = append(addresses, address), append(centres, c.centres[address])
	}
	return addresses, centres
}

// hostsVersion returns a hash of the control hosts that is not 0.
func hostsVersion(addresses, centres []string) uint64 {
	h := uint64(1)
	for i := range addresses {
		h = hash.Mix(h, hash.Mix(hash.String(addresses[i]), hash.String(centres[i])))
	}
	return max(h, 1)
}
