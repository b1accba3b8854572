package daemon

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/logs"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/token/core"
	"monsooncleat.example/monsooncleat/internal/wire/link"
)

const (
	// tickSpan is the span between two ticks without packets.
	tickSpan = 100 * time.Millisecond
	// settledSpan is how long a host takes a route that it does not know to be
	// missing after it last heard from a control host.
	settledSpan = 1500 * clock.Millis(1)
	// maxAddresses bounds the server addresses kept in the form of the socket.
	maxAddresses = 8192
	// linesPerSecond bounds the log lines for each kind of decision.
	linesPerSecond = 25
)

// forwarder is the event loop, which owns the decision machine.
type forwarder struct {
	gnet.BuiltinEventEngine
	// mu guards all below: the library ticks on a goroutine beside the loop's.
	mu        sync.Mutex
	d         *Daemon
	engine    gnet.Engine
	booted    chan struct{}
	packet    core.Packet
	buffer    []byte
	addresses map[netip.AddrPort]*net.UDPAddr
	settledAt clock.Millis
	tickedAt  clock.Millis
	budgets   map[core.Reason]*logs.Budget
	noAnswers *logs.Budget
	servers   *logs.Budget
}

func newForwarder(d *Daemon) *forwarder {
	return &forwarder{
		d: d, addresses: map[netip.AddrPort]*net.UDPAddr{}, budgets: map[core.Reason]*logs.Budget{}, noAnswers: logs.NewBudget(linesPerSecond),
		servers: logs.NewBudget(linesPerSecond),
	}
}

func (f *forwarder) run(ctx context.Context) error {
	f.booted = make(chan struct{})
	return link.RunEngine(ctx, f, "udp://"+f.d.settings.Packets.String(), f.booted,
		func() gnet.Engine { return f.engine }, gnet.WithTicker(true))
}

// OnBoot implements gnet.EventHandler.
func (f *forwarder) OnBoot(engine gnet.Engine) gnet.Action {
	f.engine = engine
	close(f.booted)
	return gnet.None
}

// OnTick implements gnet.EventHandler.
func (f *forwarder) OnTick() (time.Duration, gnet.Action) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.work(f.d.clock.Now())
	return tickSpan, gnet.None
}

// work takes the news and does the periodic work.
func (f *forwarder) work(now clock.Millis) {
	for f.d.news.Depth() > 0 {
		f.learn(now, <-f.d.news.Items())
	}
	if now-f.tickedAt >= clock.Of(tickSpan) {
		f.tickedAt = now
		f.giveUp(now, f.d.core.Tick(now))
		stats := f.d.core.Stats()
		f.d.stats.Store(&stats)
		loads := f.d.core.Loads()
		f.d.loads.Store(&loads)
	}
}

func (f *forwarder) learn(now clock.Millis, n news) {
	if n.ask != nil {
		n.ask <- f.d.state()
		return
	}
	f.settledAt = max(f.settledAt, n.settled)
	for _, s := range f.d.core.Learn(now, &n.update) {
		if omitted, ok := f.servers.Allow(now); ok {
			f.d.log.Info("Server known.", "id", s.ID, "state", s.State.String(), "started", int64(s.Started), "seq", s.Seq,
				"service", s.Service, "address", s.Address, "ended", s.Ended(), "silent", s.Silent(), "age", int64(now-s.Heard()),
				"omitted", omitted)
		}
	}
	f.configure(now, n.delta)
	if f.d.core.Version() > 0 && !f.d.stopping.Load() && !f.d.ready.Swap(true) {
		f.d.log.Info("Ready.", "version", f.d.core.Version(), "servers", f.d.core.Servers())
	}
}

// configure puts a newer routing table in force.
func (f *forwarder) configure(now clock.Millis, delta *routes.Delta) {
	if delta == nil || delta.Version <= f.d.core.Version() {
		return
	}
	table, err := delta.Apply(f.d.core.Table())
	if err != nil {
		f.d.log.Warn("Change of the routing table cannot be used. It is asked for again.", "base", delta.Base, "err", err)
		return
	}
	if f.d.core.Configure(now, table) {
		f.d.version.Store(table.Version)
		f.d.log.Info("Routing table in force.", "version", table.Version, "base", delta.Base, "routes", len(table.Routes))
	}
}

// OnTraffic implements gnet.EventHandler.
func (f *forwarder) OnTraffic(c gnet.Conn) gnet.Action {
	datagram, err := c.Next(-1)
	if err != nil {
		return gnet.None
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.d.clock.Now()
	if f.d.news.Depth() > 0 {
		f.work(now)
	}
	if !f.d.codec.Decode(datagram, &f.packet) {
		f.d.log.Warn("Datagram cannot be read.", "bytes", len(datagram))
		return gnet.None
	}
	settled := f.settledAt > 0 && now-f.settledAt < settledSpan
	a := f.d.core.Packet(now, &f.packet, settled)
	f.measure(&a)
	f.explain(now, &a)
	switch a.Verdict {
	case core.Forward:
		f.buffer = f.d.codec.Forward(f.buffer[:0], datagram, &a)
		f.send(c, a.Server)
	case core.Reset:
		f.buffer = f.d.codec.Reset(f.buffer[:0], &f.packet)
		f.send(c, netip.AddrPortFrom(f.packet.From.Addr(), f.d.settings.Packets.Port()))
	case core.Drop:
	}
	return gnet.None
}

func (f *forwarder) send(c gnet.Conn, to netip.AddrPort) {
	address := f.addresses[to]
	if address == nil {
		if len(f.addresses) >= maxAddresses {
			clear(f.addresses)
		}
		address = net.UDPAddrFromAddrPort(to)
		f.addresses[to] = address
	}
	if _, err := c.SendTo(f.buffer, address); err != nil {
		f.d.reasons.Add("sendFailed", 1)
		f.d.log.Warn("Datagram cannot be sent.", "to", to, "err", err)
	}
}

// measure counts a decision and records the times that its packet brought.
func (f *forwarder) measure(a *core.Action) {
	if a.Handshake > 0 {
		f.d.handshakes.Record(a.Handshake.Duration())
	}
	if a.Response > 0 {
		f.d.responses.Record(a.Response.Duration())
	}
	if a.Reason != core.NoReason {
		f.d.reasons.Add(a.Reason.String(), 1)
	}
	if a.Reason == core.NewFlow {
		f.d.opened.Add(a.Service, 1)
	}
}

// giveUp writes a line for each flow or request that got no answer.
func (f *forwarder) giveUp(now clock.Millis, endings []core.Ending) {
	for i := range endings {
		e := &endings[i]
		f.d.reasons.Add("noAnswer", 1)
		if omitted, ok := f.noAnswers.Allow(now); ok {
			f.d.log.Info("No answer seen.", "flow", e.Caller.String()+">"+e.Route.String(), "server", e.ServerID,
				"opened", e.Opened, "waited", int64(e.Waited), "omitted", omitted)
		}
	}
}

// explain writes a line for each decision that a user may ask about.
func (f *forwarder) explain(now clock.Millis, a *core.Action) {
	if a.Reason == core.NoReason {
		return
	}
	b := f.budgets[a.Reason]
	if b == nil {
		b = logs.NewBudget(linesPerSecond)
		f.budgets[a.Reason] = b
	}
	omitted, ok := b.Allow(now)
	if !ok {
		return
	}
	f.d.log.Info("Flow decided.", "flow", f.packet.From.String()+">"+f.packet.To.String(), "outcome", a.Verdict.String(),
		"why", a.Reason.String(), "server", a.ServerID, "load", a.Load, "ack", f.packet.Ack, "token", uint32(f.packet.Token),
		"version", f.d.core.Version(), "newsAge", int64(now-f.settledAt), "omitted", omitted)
}
