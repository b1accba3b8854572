package daemon

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/logs"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/token/core"
	"monsooncleat.example/monsooncleat/internal/token/intake"
	"monsooncleat.example/monsooncleat/internal/wire/link"
)

const (
	// tickInterval is the time between two calls of Core.Tick.
	tickInterval = 100 * time.Millisecond
	// confirmationTTL is how long the host's state counts as up to date after it
	// was last confirmed. In that time, a route or server that the host does not
	// know is taken not to exist.
	confirmationTTL = 1500 * clock.Millis(1)
	// maxReceiveTime is how long datagrams are decided before the event loop gets a
	// turn.
	maxReceiveTime = 50 * clock.Millis(1)
	// maxDatagram is the largest datagram, as routers and servers exchange them.
	maxDatagram = 1500
	// maxAddresses bounds the cache of socket addresses.
	maxAddresses = 8192
	// linesPerSecond is the rate limit for each kind of log line about a decision, a
	// timeout or a server.
	linesPerSecond = 25
	// behindThreshold is the wait of a packet on this host from which it is logged, and
	// behindLinesPerSecond the limit for these lines.
	behindThreshold      = 50 * clock.Millis(1)
	behindLinesPerSecond = 2
)

// forwarder is the event loop that owns the core.
type forwarder struct {
	gnet.BuiltinEventEngine
	// mu guards Daemon.core and the fields from packet on, because gnet calls OnTick
	// on a goroutine of its own.
	mu        sync.Mutex
	d         *Daemon
	engine    gnet.Engine
	booted    chan struct{}
	packet    core.Packet
	buffer    []byte
	addresses map[netip.AddrPort]*unix.SockaddrInet4
	queue     *intake.Queue
	// fd is a duplicate of the socket, which gnet owns.
	fd int
	// handing is set while the event loop has a datagram and waits for mu.
	handing atomic.Bool
	// reasons and opened count decisions until the next tick, when they are published.
	reasons [core.Reasons]int64
	opened  map[string]int64
	// confirmedAt is the latest update.confirmedAt received, or 0 if there was none.
	confirmedAt clock.Millis
	tickedAt    clock.Millis
	// These limit the rate of log lines.
	decisionLimiters map[core.Reason]*logs.Limiter
	timeoutLimiter   *logs.Limiter
	serverLimiter    *logs.Limiter
	behindLimiter    *logs.Limiter
	shaping          *shaping
	// cold is the number of cold servers that was logged last.
	cold int
}

func newForwarder(d *Daemon) *forwarder {
	f := &forwarder{
		d: d, addresses: map[netip.AddrPort]*unix.SockaddrInet4{}, decisionLimiters: map[core.Reason]*logs.Limiter{},
		opened:         map[string]int64{},
		timeoutLimiter: logs.NewLimiter(linesPerSecond), serverLimiter: logs.NewLimiter(linesPerSecond),
		behindLimiter: logs.NewLimiter(behindLinesPerSecond),
	}
	f.shaping = newShaping(d.settings)
	f.queue = intake.New(f, d.clock.Now, maxDatagram, f.probe)
	return f
}

func (f *forwarder) run(ctx context.Context) error {
	f.booted = make(chan struct{})
	f.fd = -1
	err := link.RunEngine(ctx, f, "udp://"+f.d.settings.Packets.String(), f.booted,
		func() gnet.Engine { return f.engine }, gnet.WithTicker(true))
	if f.fd >= 0 {
		if closeErr := unix.Close(f.fd); closeErr != nil {
			f.d.log.Warn("Failed to close the duplicate of the socket.", "err", closeErr)
		}
	}
	return err
}

// OnBoot implements gnet.EventHandler.
func (f *forwarder) OnBoot(engine gnet.Engine) gnet.Action {
	f.engine = engine
	fd, err := engine.Dup()
	if err != nil {
		f.d.log.Error("Failed to duplicate the socket.", "err", err)
		return gnet.Shutdown
	}
	f.fd = fd
	close(f.booted)
	return gnet.None
}

// OnTick implements gnet.EventHandler.
func (f *forwarder) OnTick() (time.Duration, gnet.Action) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.d.clock.Now()
	f.queue.Alive(now, f.isWaiting())
	f.queue.Resume(maxReceiveTime)
	f.runPeriodic(f.d.clock.Now())
	return tickInterval, gnet.None
}

// isWaiting reports whether a datagram waits for the event loop, in the socket or for mu, which
// the caller holds.
func (f *forwarder) isWaiting() bool {
	polled := []unix.PollFd{{Fd: int32(f.fd), Events: unix.POLLIN}}
	if _, err := unix.Poll(polled, 0); err != nil {
		f.d.log.Warn("Failed to poll the socket. Waits of openings may be understated.", "err", err)
	}
	// The event loop may have read the datagram before the socket was polled.
	return polled[0].Revents&unix.POLLIN != 0 || f.handing.Load()
}

// runPeriodic applies the queued updates and, at most once per tickInterval, calls
// Core.Tick and publishes the core's counters and loads.
func (f *forwarder) runPeriodic(now clock.Millis) {
	for f.d.updates.Depth() > 0 {
		f.applyUpdate(now, <-f.d.updates.Items())
	}
	if now-f.tickedAt >= clock.FromDuration(tickInterval) {
		f.tickedAt = now
		f.logTimeouts(now, f.d.core.Tick(now))
		f.publishCounts()
		f.recordWaits(now)
		f.recordShaping(now)
		f.logCold()
		stats := f.d.core.Stats()
		f.d.stats.Store(&stats)
		loads := f.d.core.Loads()
		f.d.loads.Store(&loads)
	}
}

// recordWaits publishes how long packets have waited on this host since the last tick,
// and logs it while the host is behind.
func (f *forwarder) recordWaits(now clock.Millis) {
	s := f.queue.Stats()
	f.d.inputWait.Record(s.LongestWait.Duration())
	f.d.openingWait.Record(s.LongestOpeningWait.Duration())
	f.d.openingsDiscarded.Store(int64(s.Discarded))
	f.d.waitProbesSent.Store(int64(s.ProbesSent))
	f.d.waitProbesRead.Store(int64(s.ProbesRead))
	if max(s.LongestWait, s.LongestOpeningWait) < behindThreshold {
		return
	}
	if omitted, ok := f.behindLimiter.Allow(now); ok {
		f.d.log.Warn("Host is behind.", "openFlows", int64(s.LongestWait), "openings", int64(s.LongestOpeningWait),
			"waiting", f.queue.Len(), "discarded", s.Discarded, "omitted", omitted)
	}
}

func (f *forwarder) applyUpdate(now clock.Millis, u update) {
	if u.dump != nil {
		u.dump <- f.d.state()
		return
	}
	f.confirmedAt = max(f.confirmedAt, u.confirmedAt)
	evacuations := f.d.core.EvacuationsVersion()
	for _, s := range f.d.core.Learn(now, &u.changes) {
		if omitted, ok := f.serverLimiter.Allow(now); ok {
			f.d.log.Info("Server known.", "id", s.ID, "state", s.State.String(), "started", int64(s.Started), "seq", s.Seq,
				"service", s.Service, "address", s.Address, "ended", s.Ended(), "silent", s.Silent(), "age", int64(now-s.LastAnnounced()),
				"omitted", omitted)
		}
	}
	f.logEvacuations(evacuations)
	f.configure(now, u.delta)
	if f.d.core.Version() > 0 && !f.d.stopping.Load() && !f.d.ready.Swap(true) {
		f.d.log.Info("Ready.", "version", f.d.core.Version(), "servers", f.d.core.Servers())
	}
}

// configure applies the delta to the routing table and puts the result in force,
// if it is newer.
func (f *forwarder) configure(now clock.Millis, delta *routes.Delta) {
	if delta == nil || delta.Version <= f.d.core.Version() {
		return
	}
	table, err := delta.Apply(f.d.core.Table())
	if err != nil {
		f.d.log.Warn("Routing table delta does not apply and is requested again.", "base", delta.Base, "err", err)
		return
	}
	if f.d.core.Configure(now, table) {
		f.d.version.Store(table.Version)
		f.d.log.Info("Routing table in force.", "version", table.Version, "base", delta.Base, "routes", len(table.Routes))
	}
}

// OnTraffic implements gnet.EventHandler. It reads what has arrived besides the first
// datagram without going back to the event loop, which costs two system calls for each.
func (f *forwarder) OnTraffic(c gnet.Conn) gnet.Action {
	f.handing.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handing.Store(false)
	datagram, err := c.Next(-1)
	if err != nil {
		return gnet.None
	}
	f.queue.Receive(datagram, f.read, maxReceiveTime)
	return gnet.None
}

// read implements intake.Source. The datagrams name their senders themselves.
func (f *forwarder) read(buffer []byte) (int, bool) {
	n, err := unix.Read(f.fd, buffer)
	return n, err == nil
}

// Classify implements intake.Handler.
func (f *forwarder) Classify(datagram []byte) intake.Class {
	if !f.d.codec.Decode(datagram, &f.packet) {
		f.d.log.Warn("Received an invalid datagram.", "bytes", len(datagram))
		return intake.Invalid
	}
	if f.packet.Open {
		return intake.Opening
	}
	return intake.Established
}

// Decide implements intake.Handler.
func (f *forwarder) Decide(datagram []byte, waited intake.Wait) {
	now := f.d.clock.Now()
	// Apply queued updates first, so that the packet is routed by the latest state.
	if f.d.updates.Depth() > 0 || now-f.tickedAt >= clock.FromDuration(tickInterval) {
		f.runPeriodic(now)
	}
	f.d.codec.Decode(datagram, &f.packet)
	f.packet.Waited, f.packet.LongestWait, f.packet.LinkFull = f.waited(now, waited.Likely), waited.Longest, f.linkFull(now)
	// After a stall, the host knows what was true before it.
	f.packet.AfterStall = f.queue.Stalled()
	upToDate := f.confirmedAt > 0 && now-f.confirmedAt < confirmationTTL && !f.packet.AfterStall
	a := f.d.core.HandlePacket(now, &f.packet, upToDate)
	f.recordMetrics(&a)
	f.logDecision(now, &a)
	switch a.Verdict {
	case core.Forward:
		f.buffer = f.d.codec.Forward(f.buffer[:0], datagram, &a)
		f.forward(now, a.Server)
		if a.AskedNumber != 0 {
			asked := a
			asked.Number = a.AskedNumber
			f.buffer = f.d.codec.Forward(f.buffer[:0], datagram, &asked)
			f.sendOwn(now, a.Server)
		}
	case core.Reset:
		f.buffer = f.d.codec.Reset(f.buffer[:0], &f.packet)
		// Clients receive resets at the port number of Settings.Packets.
		f.sendOwn(now, netip.AddrPortFrom(f.packet.From.Addr(), f.d.settings.Packets.Port()))
	case core.Drop:
	}
}

// probe implements intake.Prober.
func (f *forwarder) probe(datagram []byte) { f.send(f.d.settings.Packets, datagram) }

func (f *forwarder) send(to netip.AddrPort, datagram []byte) {
	if !to.Addr().Unmap().Is4() {
		f.d.reasons.Add("sendFailed", 1)
		f.d.log.Warn("Failed to send a datagram: not an IPv4 address.", "to", to)
		return
	}
	address := f.addresses[to]
	if address == nil {
		if len(f.addresses) >= maxAddresses {
			clear(f.addresses)
		}
		address = &unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().Unmap().As4()}
		f.addresses[to] = address
	}
	if err := unix.Sendto(f.fd, datagram, 0, address); err != nil {
		f.d.reasons.Add("sendFailed", 1)
		f.d.log.Warn("Failed to send a datagram.", "to", to, "err", err)
	}
}

// recordMetrics counts a decision and records the durations that its packet
// completed.
func (f *forwarder) recordMetrics(a *core.Action) {
	if a.Handshake > 0 {
		f.d.handshakes.Record(a.Handshake.Duration())
	}
	if a.Response > 0 {
		f.d.responses.Record(a.Response.Duration())
	}
	f.reasons[a.Reason]++
	if a.Reason == core.NewFlow {
		f.opened[a.Service]++
	}
}

// publishCounts adds the decisions since the last call to the metrics.
func (f *forwarder) publishCounts() {
	for reason, n := range f.reasons {
		if n > 0 && core.Reason(reason) != core.NoReason {
			f.d.reasons.Add(core.Reason(reason).String(), n)
		}
	}
	f.reasons = [core.Reasons]int64{}
	for service, n := range f.opened {
		f.d.opened.Add(service, n)
		delete(f.opened, service)
	}
}

// logTimeouts counts each opening packet or request that was given up without an
// answer, and logs it within the rate limit.
func (f *forwarder) logTimeouts(now clock.Millis, timeouts []core.Timeout) {
	for i := range timeouts {
		t := &timeouts[i]
		f.d.reasons.Add("noAnswer", 1)
		if omitted, ok := f.timeoutLimiter.Allow(now); ok {
			f.d.log.Info("No answer seen.", "flow", t.Client.String()+">"+t.Route.String(), "server", t.ServerID,
				"opened", t.Established, "waited", int64(t.Waited), "claim", t.Claim.String(), "omitted", omitted)
		}
	}
}

// logDecision logs a decision that has a reason, within the rate limit of that
// reason.
func (f *forwarder) logDecision(now clock.Millis, a *core.Action) {
	if a.Reason == core.NoReason {
		return
	}
	limiter := f.decisionLimiters[a.Reason]
	if limiter == nil {
		limiter = logs.NewLimiter(linesPerSecond)
		f.decisionLimiters[a.Reason] = limiter
	}
	omitted, ok := limiter.Allow(now)
	if !ok {
		return
	}
	f.d.log.Info("Flow decided.", "flow", f.packet.From.String()+">"+f.packet.To.String(), "outcome", a.Verdict.String(),
		"why", a.Reason.String(), "server", a.ServerID, "load", a.Load, "seq", f.packet.Seq, "ack", f.packet.Ack, "token", uint32(f.packet.Token),
		"claim", a.Claim.String(), "waited", int64(f.packet.LongestWait),
		"version", f.d.core.Version(), "newsAge", int64(now-f.confirmedAt), "omitted", omitted)
}
