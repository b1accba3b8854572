package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"monsooncleat.example/monsooncleat/internal/base/admin"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/entry/core"
	"monsooncleat.example/monsooncleat/internal/entry/count"
	"monsooncleat.example/monsooncleat/internal/serve/roster"
)

const (
	headerTimeout        = 5 * time.Second
	maxAnnouncementBytes = 4096
)

// errBadAnnouncement is returned for an announcement with a missing or invalid
// field.
var errBadAnnouncement = errors.New("announcement must have a name, a service, an address (IP:port) and a positive start")

// errDisconnected is returned while Core.AcceptsAnnouncements is false.
var errDisconnected = errors.New("entry host is disconnected from the other entry hosts")

// stats is a copy of the core's counters that other goroutines may read.
type stats struct {
	// values holds the counters. Its length must be at least count.CounterCount.
	values [64]atomic.Uint64
	flows  atomic.Int64
	ready  atomic.Bool
	// acceptsAnnouncements is Core.AcceptsAnnouncements.
	acceptsAnnouncements atomic.Bool
}

// brokenFlowCounters returns the names and values of the counters that tell why a flow
// may have broken on this host, for a log line.
func (s *stats) brokenFlowCounters() []any {
	var out []any
	for _, c := range []count.Counter{
		count.FlowsAdopted, count.FlowsUnknown, count.FlowsRefused, count.FlowsSilent, count.CrossedPrevented,
	} {
		out = append(out, c.String(), s.values[c].Load())
	}
	return out
}

// update copies the counters of c. It runs on the goroutine that owns c.
func (s *stats) update(c *core.Core) {
	for i := range count.CounterCount {
		s.values[i].Store(c.Counters().Get(count.Counter(i)))
	}
	s.flows.Store(int64(c.Flows()))
	s.ready.Store(c.Ready())
	s.acceptsAnnouncements.Store(c.AcceptsAnnouncements())
}

// publishMetrics registers the metrics of the host.
func (d *Daemon) publishMetrics() {
	for i := range count.CounterCount {
		d.metrics.Gauge(count.Counter(i).String(), func() int64 { return int64(d.stats.values[i].Load()) })
	}
	d.metrics.Gauge("flows", d.stats.flows.Load)
	d.metrics.Gauge("packetRingDepth", func() int64 { return int64(d.packets.Depth()) })
	d.metrics.Gauge("packetRingRefused", func() int64 { return int64(d.packets.Refused()) })
	d.metrics.Gauge("answerRingDepth", func() int64 { return int64(d.answers.Depth()) })
	d.metrics.Gauge("answerRingRefused", func() int64 { return int64(d.answers.Refused()) })
	d.metrics.Gauge("eventRingDepth", func() int64 { return int64(d.events.Depth()) })
	d.metrics.Gauge("eventRingRefused", func() int64 { return int64(d.events.Refused()) })
	d.metrics.Gauge("peerRingDepth", func() int64 { return int64(d.peers.Depth()) })
	d.metrics.Gauge("framesDropped", func() int64 { return int64(d.peers.Dropped()) })
	d.metrics.Gauge("controlBytesIn", func() int64 { return int64(d.frameListener.BytesIn() + d.peers.BytesIn()) })
	d.metrics.Gauge("controlBytesOut", func() int64 { return int64(d.frameListener.BytesOut() + d.peers.BytesOut()) })
	d.metrics.Gauge("sendErrors", func() int64 { return int64(d.sendErrors.Load()) })
}

// serveAnnounce serves the HTTP endpoint for announcements of backend servers.
func (d *Daemon) serveAnnounce(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", d.onAnnounce)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	return admin.ServeHTTP(ctx, d.settings.Announce.String(), server)
}

func (d *Daemon) onAnnounce(w http.ResponseWriter, r *http.Request) {
	var a roster.Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err := dec.Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := checkAnnouncement(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !d.events.Offer(event{announcement: &a}) {
		http.Error(w, admin.ErrQueueFull.Error(), http.StatusServiceUnavailable)
		return
	}
	if !d.stats.acceptsAnnouncements.Load() {
		// This host keeps the announcement, but an error makes the server
		// announce itself to another host as well.
		http.Error(w, errDisconnected.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]clock.Millis{"nextMs": roster.HeartbeatInterval})
}

func checkAnnouncement(a *roster.Announcement) error {
	if _, err := netip.ParseAddrPort(a.Address); err != nil || a.Name == "" || a.Service == "" || a.Start <= 0 {
		return errBadAnnouncement
	}
	return nil
}

// dumpState returns the state of the host. It runs on the goroutine that owns
// the core.
func (d *Daemon) dumpState(now clock.Millis) *core.Dump {
	v := d.core.Dump(now)
	v.Rings = map[string]int{
		"packets": d.packets.Depth(), "answers": d.answers.Depth(),
		"events": d.events.Depth(), "peers": d.peers.Depth(), "releases": d.releases.Depth(),
	}
	v.Metrics = d.metrics.Values()
	return v
}

// requestDump requests the state from the goroutine that owns the core.
func (d *Daemon) requestDump(ctx context.Context) (any, error) {
	return admin.Query(ctx, func(reply chan<- any) bool {
		return d.events.Offer(event{dumpReply: reply})
	})
}
