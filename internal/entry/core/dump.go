package core

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
	"monsooncleat.example/monsooncleat/internal/host/member"
	"monsooncleat.example/monsooncleat/internal/serve/lease"
)

// Dump is the state of an entry host for diagnostics.
type Dump struct {
	Role       string       `json:"role"`
	Name       string       `json:"name"`
	DataCentre string       `json:"dataCentre"`
	Version    spec.Version `json:"version"`
	Digest     spec.Digest  `json:"digest"`
	ReleaseSeq uint64       `json:"releaseSeq"`
	// ControlSilentFor is the time since the last reply from a control host in
	// contact with a quorum, in milliseconds.
	ControlSilentFor clock.Millis `json:"controlSilentForMs"`
	Serving          bool         `json:"serving"`
	Leaving          bool         `json:"leaving"`
	Fenced           bool         `json:"fenced"`
	Ready            bool         `json:"ready"`
	IsFetcher        bool         `json:"fetches"`
	// View is a hash of the serving hosts and their boot numbers. It is equal on
	// hosts that see the same ones.
	View     uint64        `json:"view"`
	Members  []DumpHost    `json:"members"`
	Servers  []DumpServer  `json:"servers"`
	Services []DumpService `json:"services"`
	// LeaseWaits is the number of servers for which this host is the lease
	// keeper but may not grant leases yet.
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
	Name        string `json:"name"`
	State       string `json:"state"`
	Phase       string `json:"phase"`
	Boot        uint64 `json:"boot"`
	Incarnation uint64 `json:"incarnation"`
	// InForce is the version of the host's active bundle, or 0 if unknown.
	InForce spec.Version `json:"inForce"`
}

// DumpServer is one backend server in a dump.
type DumpServer struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Address string `json:"address"`
	State   string `json:"state"`
	// Keeper is the entry host that receives the server's announcements. Its
	// lease keeper may be another host.
	Keeper          string  `json:"keeper"`
	Weight          uint32  `json:"weight"`
	Slots           uint32  `json:"slots"`
	SlowStartFactor float64 `json:"warmth"`
}

// DumpService is one service in a dump.
type DumpService struct {
	Name    string         `json:"name"`
	Kind    spec.Kind      `json:"kind"`
	Flows   int            `json:"flows"`
	Servers map[string]int `json:"servers"`
	Queued  int            `json:"queued"`
	// LeasedSlots is the number of slots that this host has leased for the
	// service, and InFlight the number of its requests that hold a slot.
	LeasedSlots int `json:"slots"`
	InFlight    int `json:"atWork"`
}

// Dump returns the state of the host.
func (c *Core) Dump(now clock.Millis) *Dump {
	self := c.group.Self()
	d := &Dump{
		Role: "entry", Name: c.opts.Name, DataCentre: c.opts.Centre, Version: c.activeVersion(),
		ReleaseSeq: c.releases.Position().Seq, Digest: c.releases.Position().Digest,
		ControlSilentFor: now - c.control.UpToDateAt(), Serving: c.serving, Leaving: c.leaving,
		Fenced: c.fenced(), Ready: c.Ready(), IsFetcher: c.fetcher() == self.Name, View: c.group.Digest(),
		LeaseWaits: c.leaseKeeper.ServersAwaitingTerm(now), Leases: c.leaseHolder.Leases(), Flows: c.flows.Len(), Requests: c.ledger.Len(),
		RefusedTries: c.refusedTries.Len(), Counters: c.counters.All(),
	}
	for _, m := range c.group.Members() {
		d.Members = append(d.Members, c.dumpHost(&m))
	}
	for _, info := range c.servers.All() {
		d.Servers = append(d.Servers, DumpServer{
			Name: info.Name, Service: info.Service, Address: info.Address, State: info.State.String(),
			Keeper: info.Keeper, Weight: info.Weight, Slots: info.Slots, SlowStartFactor: c.servers.Find(info.Name).SlowStartFactor(now),
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
		h.InForce = c.activeVersion()
	} else if status := c.peers[m.Name]; status != nil {
		h.InForce = status.activeVersion
	}
	return h
}

func (c *Core) dumpService(name string, s *service) DumpService {
	d := DumpService{
		Name: name, Kind: s.spec.Kind(), Flows: s.flowCount, Servers: map[string]int{},
		Queued: len(s.queue), LeasedSlots: c.leaseHolder.LeasedSlots(c.now, name), InFlight: c.leaseHolder.Used(name),
	}
	for id, n := range s.flowsByServer {
		if n != 0 {
			d.Servers[c.interner.Name(id)] = n
		}
	}
	return d
}
