package daemon

import (
	"context"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/admin"
	"monsooncleat.example/monsooncleat/internal/base/logs"
	"monsooncleat.example/monsooncleat/internal/dir/grant"
	"monsooncleat.example/monsooncleat/internal/dir/order"
)

// registerMetrics registers the gauges of the control host.
func (d *Daemon) registerMetrics(factory *logs.Factory) {
	gauges := map[string]func() int64{
		"logLinesLost":     func() int64 { return int64(factory.Lost()) },
		"eventRingDepth":   func() int64 { return int64(d.inbox.Depth()) },
		"eventRingRefused": func() int64 { return d.refused() },
		"diskRingDepth":    func() int64 { return int64(d.batches.Depth()) },
		"controlBytesIn":   func() int64 { return int64(d.server.BytesIn() + d.peers.BytesIn()) },
		"controlBytesOut":  func() int64 { return int64(d.server.BytesOut() + d.peers.BytesOut()) },
		"framesDropped":    func() int64 { return int64(d.peers.Dropped()) },
		"redials":          func() int64 { return int64(d.peers.Resets()) },
		"configVersion":    func() int64 { return int64(d.version.Load()) },
		"logCurrent":       func() int64 { return d.current.Load() },
		"logVoters":        func() int64 { return d.voters.Load() },
		"logVotersSilent":  func() int64 { return d.silentVoters.Load() },
		"logWitnesses":     d.witnesses.Load,
		"witnessMessages":  d.witnessMessages.Load,
		"serversKnown":     func() int64 { return d.servers.Load() },
		"entryHosts":       func() int64 { return d.entryHosts.Load() },
		"sharingHosts":     func() int64 { return d.sharingHosts.Load() },
		"evacuations":      d.evacuated.Load,

		"evacuationShortOfRoom": d.shortOfRoom.Load,
		"coldServers":           func() int64 { return d.coldServers.Load() },
		"grants":                func() int64 { return d.grants.Load() },
	}
	for name, read := range gauges {
		d.metrics.Gauge(name, read)
	}
	for class := range order.Classes {
		d.waits[class] = d.metrics.Histogram(class.String() + "WaitMicros")
		d.works[class] = d.metrics.Histogram(class.String() + "WorkMicros")
	}
}

// refused returns the number of messages, calls and other events that found no room.
func (d *Daemon) refused() int64 {
	n := d.events.Refused()
	for class := range order.Classes {
		n += d.inbox.Refused(class)
	}
	return int64(n)
}

// Metrics returns the metrics of the control host.
func (d *Daemon) Metrics() *admin.Metrics { return d.metrics }

// Dump is the state of a control host, for debugging.
type Dump struct {
	Role     string    `json:"role"`
	Name     string    `json:"name"`
	ID       raft.ID   `json:"id"`
	LogRole  string    `json:"logRole"`
	Current  bool      `json:"current"`
	Failed   bool      `json:"failed"`
	Leader   raft.ID   `json:"leader"`
	Term     uint64    `json:"term"`
	Commit   uint64    `json:"commit"`
	Voters   []raft.ID `json:"voters"`
	Learners []raft.ID `json:"learners"`
	// Witnesses are the entry hosts that break ties between the voters.
	Witnesses []raft.ID `json:"witnesses,omitempty"`
	Version   uint64    `json:"version"`
	Servers   int       `json:"servers"`
	// Sharing is the number of entry hosts that take new flows, by data centre.
	Sharing map[string]int `json:"sharing"`
	Waiting int            `json:"waiting"`
	// Evacuations are the data centres that are or were evacuated.
	Evacuations []Evacuation `json:"evacuations"`
	// Cold are the cold servers, and what this host grants of them.
	Cold     []grant.Share `json:"cold,omitempty"`
	Counters any           `json:"counters"`
}

// newDump returns the current state. It must be called on the core goroutine.
func (d *Daemon) newDump() Dump {
	n := d.core.Node()
	conf := n.Conf()
	return Dump{
		Role: "directory", Name: d.settings.Name, ID: n.ID(), LogRole: n.Role().String(),
		Current: d.core.Current(), Failed: d.core.Failed(), Leader: n.Leader(), Term: n.Term(), Commit: n.Commit(),
		Voters: conf.Voters, Learners: conf.Learners, Witnesses: n.Witnesses(), Version: d.core.Version(),
		Servers: d.core.Fleet().Len(), Sharing: d.core.SharingByCentre(), Waiting: d.core.Pending(), Evacuations: d.evacuations(), Cold: d.core.Shares(), Counters: d.metrics.Values(),
	}
}

func (d *Daemon) dump(ctx context.Context) (any, error) {
	return admin.Query(ctx, func(answer chan<- any) bool {
		return d.events.Offer(event{dump: answer})
	})
}
