package core

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
	"monsooncleat.example/monsooncleat/internal/host/member"
	"monsooncleat.example/monsooncleat/internal/serve/lease"
)

// Dump is the state of an entry host.
type Dump struct {
	Role       string       `json:"role"`
	Name       string       `json:"name"`
	DataCentre string       `json:"dataCentre"`
	Version    spec.Version `json:"version"`
	Digest     spec.Digest  `json:"digest"`
	ReleaseSeq uint64       `json:"releaseSeq"`
	// ControlSilentFor is how long no control host in touch with a quorum was
	// heard, in milliseconds.
	ControlSilentFor clock.Millis  `json:"controlSilentForMs"`
	Serving          bool          `json:"serving"`
	Leaving          bool          `json:"leaving"`
	Fenced           bool          `json:"fenced"`
	Ready            bool          `json:"ready"`
	Fetches          bool          `json:"fetches"`
	View             uint64        `json:"view"`
	Members          []DumpHost    `json:"members"`
	Servers          []DumpServer  `json:"servers"`
	Services         []DumpService `json:"services"`
	// LeaseWaits is the count of servers for which this host, their keeper,
	// may not grant leases yet.
	LeaseWaits   int               `json:"leaseWaits"`
	Leases       []lease.Lease     `json:"leases"`
	Flows        int               `json:"flows"`
	Requests     int               `json:"requests"`
	RefusedTries int               `json:"refusedTries"`
	Counters     map[string]uint64 `json:"counters"`
	Rings        map[string]int    `json:"rings,omitempty"`
	Metrics      any               `json:"metrics,omitempty"`
}

// DumpHost is one entry host in a dump.
type DumpHost struct {
	Name        string       `json:"name"`
	State       string       `json:"state"`
	Phase       string       `json:"phase"`
	Boot        uint64       `json:"boot"`
	Incarnation uint64       `json:"incarnation"`
	InForce     spec.Version `json:"inForce"`
}

// DumpServer is one backend server in a dump.
type DumpServer struct {
	Name    string  `json:"name"`
	Service string  `json:"service"`
	Address string  `json:"address"`
	State   string  `json:"state"`
	Keeper  string  `json:"keeper"`
	Weight  uint32  `json:"weight"`
	Slots   uint32  `json:"slots"`
	Warmth  float64 `json:"warmth"`
}

// DumpService is one service in a dump.
type DumpService struct {
	Name    string         `json:"name"`
	Kind    spec.Kind      `json:"kind"`
	Flows   int            `json:"flows"`
	Servers map[string]int `json:"servers"`
	Queued  int            `json:"queued"`
	Slots   int            `json:"slots"`
	AtWork  int            `json:"atWork"`
}

// Dump returns the state of the host.
func (c *Core) Dump(now clock.Millis) *Dump {
	self := c.group.Self()
	d := &Dump{
		Role: "entry", Name: c.opts.Name, DataCentre: c.opts.Centre, Version: c.inForce(),
		ReleaseSeq: c.holderOf.Position().Seq, Digest: c.holderOf.Position().Digest,
		ControlSilentFor: now - c.control.heardAt, Serving: c.serving, Leaving: c.leaving,
		Fenced: c.fenced(), Ready: c.Ready(), Fetches: c.fetcher() == self.Name, View: c.group.Digest(),
		LeaseWaits: c.keeper.Waiting(now), Leases: c.holder.Leases(), Flows: c.flows.Len(), Requests: c.ledger.Len(),
		RefusedTries: c.refused.Len(), Counters: c.counters.All(),
	}
	for _, m := range c.group.Members() {
		d.Members = append(d.Members, c.dumpHost(&m))
	}
	for _, i := range c.roster.All() {
		d.Servers = append(d.Servers, DumpServer{
			Name: i.Name, Service: i.Service, Address: i.Address, State: i.State.String(),
			Keeper: i.Keeper, Weight: i.Weight, Slots: i.Slots, Warmth: c.roster.Find(i.Name).Warmth(now),
		})
	}
	for name, s := range c.services {
		d.Services = append(d.Services, c.dumpService(name, s))
	}
	return d
}

func (c *Core) dumpHost(m *member.Info) DumpHost {
	h := DumpHost{Name: m.Name, State: m.State.String(), Phase: m.Phase.String(), Boot: m.Boot, Incarnation: m.Incarnation}
	if m.Name == c.opts.Name {
		h.InForce = c.inForce()
	} else if n := c.peers[m.Name]; n != nil {
		h.InForce = n.inForce
	}
	return h
}

func (c *Core) dumpService(name string, s *service) DumpService {
	d := DumpService{
		Name: name, Kind: s.spec.Kind(), Flows: s.total, Servers: map[string]int{},
		Queued: len(s.queue), Slots: c.holder.Slots(c.now, name), AtWork: c.holder.Used(name),
	}
	for id, n := range s.counts {
		if n != 0 {
			d.Servers[c.names.Name(id)] = n
		}
	}
	return d
}
