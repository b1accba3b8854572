package daemon

import (
	"expvar"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"monsooncleat.example/monsooncleat/internal/base/admin"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/logs"
	"monsooncleat.example/monsooncleat/internal/conf/site"
	"monsooncleat.example/monsooncleat/internal/conf/tune"
	"monsooncleat.example/monsooncleat/internal/token/shape"
)

// shaping sends the packets of a forwarder at the rate of the host's link. Its fields
// are guarded by forwarder.mu.
type shaping struct {
	// shaper is nil if packets are sent at once.
	shaper *shape.Shaper
	// timer runs while packets wait.
	timer *time.Timer
	armed bool
	// drained is set when the host stops. Packets are then sent at once.
	drained bool
	// published are the counters as of the latest tick, or nil without a shaper.
	published atomic.Pointer[shape.Stats]
	waits     *admin.Histogram
	drops     *expvar.Map
	limiter   *logs.Limiter
}

func newShaping(settings *site.Settings) *shaping {
	s := &shaping{limiter: logs.NewLimiter(behindLinesPerSecond)}
	if settings.LinkRate > 0 && !settings.Off.Has(tune.Shaping) {
		s.shaper = shape.New(shape.Options{LinkRate: settings.LinkRate})
	}
	return s
}

// registerMetrics registers the metrics of the link. Without a shaper they are 0.
func (s *shaping) registerMetrics(m *admin.Metrics) {
	for name, read := range map[string]func(*shape.Stats) int64{
		"linkUsePercent":         func(s *shape.Stats) int64 { return int64(100 * s.Share) },
		"shapingPacketsAtOnce":   func(s *shape.Stats) int64 { return int64(s.SentPackets) },
		"shapingBytesAtOnce":     func(s *shape.Stats) int64 { return int64(s.SentBytes) },
		"shapingPacketsReleased": func(s *shape.Stats) int64 { return int64(s.ReleasedPackets) },
		"shapingBytesReleased":   func(s *shape.Stats) int64 { return int64(s.ReleasedBytes) },
		"shapingPacketsWaiting":  func(s *shape.Stats) int64 { return int64(s.Waiting) },
	} {
		m.Gauge(name, func() int64 {
			if stats := s.published.Load(); stats != nil {
				return read(stats)
			}
			return 0
		})
	}
	s.waits, s.drops = m.Histogram("shapingWaitMicros"), m.Map("shapingDrops")
}

// recordShaping publishes the counters of the shaper, and logs while packets wait for long.
func (f *forwarder) recordShaping(now clock.Millis) {
	s := f.shaping
	if s.shaper == nil {
		return
	}
	stats, previous := s.shaper.Stats(now), s.published.Load()
	s.published.Store(&stats)
	s.waits.Record(stats.LongestWait.Duration())
	if previous == nil {
		previous = &shape.Stats{}
	}
	for cause, n := range map[string]uint64{
		"duplicate": stats.Duplicates - previous.Duplicates, "age": stats.Expired - previous.Expired,
		"memory": stats.Refused - previous.Refused, "link": stats.Shed - previous.Shed,
	} {
		if n > 0 {
			s.drops.Add(cause, int64(n))
		}
	}
	if stats.LongestWait <= behindThreshold {
		return
	}
	if omitted, ok := s.limiter.Allow(now); ok {
		f.d.log.Warn("Packets wait for the link.", "longest", int64(stats.LongestWait), "waiting", stats.Waiting, "bytes", stats.WaitingBytes,
			"usePercent", int64(100*stats.Share), "duplicate", stats.Duplicates, "age", stats.Expired, "memory", stats.Refused,
			"link", stats.Shed, "omitted", omitted)
	}
}

// shapingWait stands for the wait of packets of a flow that the shaper delays. It is more
// than the wait up to which packets tell how fast a server answers.
const shapingWait = clock.Second

// waited returns for how long f.packet may have waited if it waited for the given time
// until it was read. Packets of a flow that the shaper delays are answered late through
// no fault of the server. It delays no openings.
func (f *forwarder) waited(now, untilRead clock.Millis) clock.Millis {
	if !f.packet.Open && f.shaping.shaper != nil && f.shaping.shaper.Delayed(now, &shape.Flow{Client: f.packet.From, Route: f.packet.To}) {
		return max(untilRead, shapingWait)
	}
	return untilRead
}

// linkFull reports whether f.packet opens a flow for whose data the link has no room.
func (f *forwarder) linkFull(now clock.Millis) bool {
	return f.packet.Open && f.shaping.shaper != nil && f.shaping.shaper.Full(now, f.packet.To)
}

// forward sends the datagram in f.buffer, which forwards f.packet, now or when the link
// has room.
func (f *forwarder) forward(now clock.Millis, to netip.AddrPort) {
	if f.shaping.shaper == nil || f.shaping.drained {
		f.send(to, f.buffer)
		return
	}
	packet := shape.Packet{Seq: f.packet.Seq, Length: f.packet.Length, To: to, Datagram: f.buffer}
	if f.shaping.shaper.Offer(now, &shape.Flow{Client: f.packet.From, Route: f.packet.To}, &packet) == shape.Send {
		f.send(to, f.buffer)
	}
	f.sendDue(now)
}

// sendOwn sends the datagram in f.buffer, which is from the host itself, at once.
func (f *forwarder) sendOwn(now clock.Millis, to netip.AddrPort) {
	if f.shaping.shaper != nil {
		f.shaping.shaper.Count(now, len(f.buffer))
	}
	f.send(to, f.buffer)
}

// sendDue sends the waiting packets that are due, and sets the timer for the others.
func (f *forwarder) sendDue(now clock.Millis) {
	for {
		p, ok := f.shaping.shaper.Next(now)
		if !ok {
			break
		}
		f.send(p.To, p.Datagram)
	}
	wait, ok := f.shaping.shaper.DueIn()
	if !ok || f.shaping.armed {
		return
	}
	f.shaping.armed = true
	if f.shaping.timer == nil {
		f.shaping.timer = time.AfterFunc(wait.Duration(), f.onShapingTimer)
		return
	}
	f.shaping.timer.Reset(wait.Duration())
}

func (f *forwarder) onShapingTimer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shaping.armed = false
	f.sendDue(f.d.clock.Now())
}

// OnShutdown implements gnet.EventHandler. It sends all waiting packets while the socket
// is still open.
func (f *forwarder) OnShutdown(gnet.Engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.shaping.shaper == nil {
		return
	}
	f.shaping.drained = true
	now, sent := f.d.clock.Now(), 0
	for {
		p, ok := f.shaping.shaper.Drain(now)
		if !ok {
			break
		}
		f.send(p.To, p.Datagram)
		sent++
	}
	f.recordShaping(now)
	if sent > 0 {
		f.d.log.Info("Waiting packets sent at the stop.", "packets", sent)
	}
}
