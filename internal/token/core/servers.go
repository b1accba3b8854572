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
// one that was replaced earlier, by a record that turned out to be wrong.
func (c *Core) addServer(now clock.Millis, before *server, e *fleet.Server) *server {
	s := c.findReplaced(e)
	if s == nil {
		s = c.newServer(e, e.Started)
	}
	if before == nil {
		c.ordered = append(c.ordered, s)
	} else {
		c.unlist(before)
		c.ordered[slices.Index(c.ordered, before)] = s
		if before.started != s.started {
			before.replacedAt = now
			c.replaced = append(c.replaced, before)
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
		if s, known := c.tokens.Find(tokens.Candidate(e.ID, a.Started, 0)); known && s.id == e.ID && s.started == a.Started {
			continue
		}
		s := c.newServer(e, a.Started)
		s.record.Started, s.replacedAt = a.Started, now-a.Age
		c.replaced = append(c.replaced, s)
	}
}

// findReplaced returns the incarnation that an entry of the fleet describes if it was
// replaced before and is still known, or nil.
func (c *Core) findReplaced(e *fleet.Server) *server {
	s, known := c.tokens.Find(tokens.Candidate(e.ID, e.Started, 0))
	if !known || s.replacedAt == 0 || s.entry != e || s.isSuperseded() {
		return nil
	}
	c.replaced = slices.DeleteFunc(c.replaced, func(r *server) bool { return r == s })
	return s
}

// forgetReplaced forgets the tokens of incarnations that were replaced long ago and have not
// returned.
func (c *Core) forgetReplaced(now clock.Millis) {
	for len(c.replaced) > 0 && now-c.replaced[0].replacedAt > c.options.Fleet.ForgetAfter {
		s := c.replaced[0]
		c.replaced = c.replaced[1:]
		if current := c.servers[s.id]; current == nil || current.started != s.started {
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

// expireServers forgets the servers that ended long ago, and returns the entries of the
// fleet that changed.
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
		delete(c.servers, s.id)
		c.tokens.Remove(s.id, s.started)
		return true
	})
	return c.fleet.ChangedSince(position)
}
