package core

import (
	"slices"
	"strings"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/serve/tokens"
)

// updateServers brings the servers, their tokens and the lists by service in line with
// the changed entries of the fleet. Its work grows with the changes, not with the
// servers, unless tokens collide.
func (c *Core) updateServers(now clock.Millis, changed []*fleet.Server) {
	for _, e := range changed {
		s := c.servers[e.ID]
		if s == nil || s.entry != e || s.isSuperseded() {
			s = c.addServer(now, s, e)
		}
		s.record = e.Record
		c.occupy(s)
		c.list(s)
		c.addAliases(now, e)
		s.token = c.tokens.TokenFor(s.id, s.started)
	}
	if len(changed) == 0 || c.tokens.Shared() == 0 && !c.sharedTokens {
		return
	}
	c.sharedTokens = c.tokens.Shared() > 0
	for _, s := range c.ordered {
		s.token = c.tokens.TokenFor(s.id, s.started)
	}
}

// addServer adds an incarnation, which replaces the one before, if that is not nil. It may be
// one that was replaced earlier, by a record that turned out to be wrong, or that was forgotten.
func (c *Core) addServer(now clock.Millis, before *server, e *fleet.Server) *server {
	s := c.findRetired(e)
	if s == nil {
		s = c.newServer(e, e.Started)
	}
	if before == nil {
		c.ordered = append(c.ordered, s)
	} else {
		c.unlist(before)
		c.vacate(before)
		c.ordered[slices.Index(c.ordered, before)] = s
		if before.started != s.started {
			c.retire(now, before)
		}
	}
	c.servers[e.ID] = s
	return s
}

func (c *Core) newServer(e *fleet.Server, started clock.Millis) *server {
	s := &server{
		id: e.ID, started: started, entry: e, record: e.Record,
		backend: choose.NewBackend(e.Slots, e.Centre), requests: &c.requests,
	}
	c.tokens.Add(e.ID, started, s)
	return s
}

// addAliases adds the incarnations that an entry of the fleet has replaced, so that packets
// with their tokens go to the present one.
func (c *Core) addAliases(now clock.Millis, e *fleet.Server) {
	for _, a := range e.Aliases(now) {
		if c.findIncarnation(e.ID, a.Started) != nil {
			continue
		}
		s := c.newServer(e, a.Started)
		s.record.Started = a.Started
		c.retire(now-a.Age, s)
	}
}

// retirement is the time at which an incarnation was retired. It is outdated if the
// incarnation has returned.
type retirement struct {
	server *server
	at     clock.Millis
}

// retire keeps the token of an incarnation that was replaced or forgotten. It may still serve
// flows, also new ones of hosts that are cut off from the control hosts with it.
func (c *Core) retire(now clock.Millis, s *server) {
	s.retiredAt = now
	c.retired = append(c.retired, retirement{s, now})
}

// findRetired returns the incarnation that an entry of the fleet describes if its token was
// kept when it was replaced or forgotten, or nil.
func (c *Core) findRetired(e *fleet.Server) *server {
	s := c.findIncarnation(e.ID, e.Started)
	if s == nil || s.retiredAt == 0 || s.record.Address != e.Address {
		return nil
	}
	s.entry, s.retiredAt = e, 0
	return s
}

// findIncarnation returns the incarnation of a server whose token is kept, or nil.
func (c *Core) findIncarnation(id string, started clock.Millis) *server {
	s, known := c.tokens.Find(tokens.Candidate(id, started, 0))
	if !known || s.id != id || s.started != started {
		return nil
	}
	return s
}

// forgetRetired forgets the tokens of incarnations that were retired long ago and have not
// returned.
func (c *Core) forgetRetired(now clock.Millis) {
	for len(c.retired) > 0 && now-c.retired[0].at > tokenTTL {
		s, at := c.retired[0].server, c.retired[0].at
		c.retired = c.retired[1:]
		if current := c.servers[s.id]; s.retiredAt == at && (current == nil || current.started != s.started) {
			c.tokens.Remove(s.id, s.started)
		}
	}
}

// list puts a server into the list of its service, sorted by ID, if it takes new flows
// and its data centre is not evacuated, and removes it otherwise.
func (c *Core) list(s *server) {
	service := ""
	if s.entry.Usable() && !c.evacuations.active[s.entry.Centre] {
		service = s.entry.Service
	}
	if s.service == service {
		return
	}
	c.unlist(s)
	if service == "" {
		return
	}
	at, _ := slices.BinarySearchFunc(c.services[service], s.id, compareID)
	c.listVersion++
	c.services[service] = slices.Insert(c.services[service], at, s)
	s.service = service
}

func (c *Core) unlist(s *server) {
	if s.service == "" {
		return
	}
	list := c.services[s.service]
	if at, found := slices.BinarySearchFunc(list, s.id, compareID); found {
		c.listVersion++
		c.services[s.service] = slices.Delete(list, at, at+1)
	}
	s.service = ""
}

func compareID(s *server, id string) int { return strings.Compare(s.id, id) }

// expireServers forgets the servers that ended long ago, but not yet their tokens, and
// returns the entries of the fleet that changed.
func (c *Core) expireServers(now clock.Millis) []*fleet.Server {
	position := c.fleet.Position()
	c.fleet.Expire(now)
	if c.fleet.Len() == len(c.servers) {
		return c.fleet.ChangedSince(position)
	}
	c.ordered = slices.DeleteFunc(c.ordered, func(s *server) bool {
		if c.fleet.Find(s.id) != nil {
			return false
		}
		c.unlist(s)
		c.vacate(s)
		delete(c.servers, s.id)
		c.retire(now, s)
		return true
	})
	return c.fleet.ChangedSince(position)
}
