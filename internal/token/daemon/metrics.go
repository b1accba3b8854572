package daemon

import (
	"context"

	"monsooncleat.example/monsooncleat/internal/base/admin"
	"monsooncleat.example/monsooncleat/internal/base/logs"
	"monsooncleat.example/monsooncleat/internal/token/core"
	"monsooncleat.example/monsooncleat/internal/token/shape"
)

// registerMetrics registers the metrics of an entry host.
func (d *Daemon) registerMetrics(factory *logs.Factory) {
	gauges := map[string]func() int64{
		"logLinesLost":    func() int64 { return int64(factory.Lost()) },
		"newsRingDepth":   func() int64 { return int64(d.updates.Depth()) },
		"newsRingRefused": func() int64 { return int64(d.updates.Refused()) },
		"controlBytesIn":  func() int64 { return int64(d.peers.BytesIn()) },
		"controlBytesOut": func() int64 { return int64(d.peers.BytesOut()) },
		"framesDropped":   func() int64 { return int64(d.peers.Dropped()) },
		"configVersion":   func() int64 { return int64(d.version.Load()) },
		"evacuations":     d.evacuations.Load,
	}
	for name, read := range gauges {
		d.metrics.Gauge(name, read)
	}
	for name, read := range map[string]func(s *core.Stats) uint64{
		"flowsOpened":      func(s *core.Stats) uint64 { return s.Opened },
		"flowsAnswered":    func(s *core.Stats) uint64 { return s.Answered },
		"packetsForwarded": func(s *core.Stats) uint64 { return s.Forwarded },
		"serversAvoided":   func(s *core.Stats) uint64 { return s.Avoided },

		"evacuatedNoServer": func(s *core.Stats) uint64 { return s.EvacuatedNoServer },
		"lateCopiesDropped": func(s *core.Stats) uint64 { return s.DroppedCopies },
		"flowsOpenedCold":   func(s *core.Stats) uint64 { return s.OpenedCold },
	} {
		d.metrics.Gauge(name, func() int64 {
			if s := d.stats.Load(); s != nil {
				return int64(read(s))
			}
			return 0
		})
	}
	d.handshakes, d.responses = d.metrics.Histogram("handshakeMicros"), d.metrics.Histogram("responseMicros")
	d.inputWait, d.openingWait = d.metrics.Histogram("inputWaitMicros"), d.metrics.Histogram("openingWaitMicros")
	d.metrics.Gauge("openingsDiscarded", d.openingsDiscarded.Load)
	d.metrics.Gauge("waitProbesSent", d.waitProbesSent.Load)
	d.metrics.Gauge("waitProbesRead", d.waitProbesRead.Load)
	d.metrics.Gauge("coldServers", d.coldServers.Load)
	d.metrics.Gauge("malformedReplies", d.malformedReplies.Load)
	d.metrics.Gauge("witnessReplies", d.witnessReplies.Load)
	d.metrics.Gauge("sharingHosts", d.sharingHosts.Load)
	d.forward.shaping.registerMetrics(d.metrics)
	d.reasons, d.opened = d.metrics.Map("decisions"), d.metrics.Map("flowsOpenedByService")
}

// Metrics returns the metrics of the host.
func (d *Daemon) Metrics() *admin.Metrics { return d.metrics }

// Dump is the state of an entry host that the admin listener returns.
type Dump struct {
	Role    string     `json:"role"`
	Name    string     `json:"name"`
	Version uint64     `json:"version"`
	Servers int        `json:"servers"`
	Usable  int        `json:"usable"`
	Flows   int        `json:"flows"`
	Stats   core.Stats `json:"stats"`
	// Evacuated are the evacuated data centres, and EvacuationsVersion the version of
	// that list.
	Evacuated          []string `json:"evacuated"`
	EvacuationsVersion uint64   `json:"evacuationsVersion"`

	// Shaping is nil if packets aren't sent at the rate of the link.
	Shaping *shape.Stats `json:"shaping,omitempty"`
	// Cold are the cold servers.
	Cold     []core.ColdServer `json:"cold,omitempty"`
	Counters any               `json:"counters"`
}

// state requires forwarder.mu to be held.
func (d *Daemon) state() Dump {
	return Dump{
		Role: "entry", Name: d.settings.Name, Version: d.core.Version(), Servers: d.core.Servers(),
		Evacuated: d.core.Evacuated(), EvacuationsVersion: d.core.EvacuationsVersion(),
		Usable: d.core.UsableServers(), Flows: d.core.Flows(), Stats: d.core.Stats(),
		Shaping: d.forward.shaping.published.Load(), Counters: d.metrics.Values(),
		Cold: d.core.ColdServers(d.clock.Now()),
	}
}

// dump returns the state once the forwarder has reported it.
func (d *Daemon) dump(ctx context.Context) (any, error) {
	return admin.Query(ctx, func(answer chan<- any) bool {
		return d.updates.Offer(update{dump: answer})
	})
}
