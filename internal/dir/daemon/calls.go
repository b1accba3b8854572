package daemon

import (
	"context"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/core"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// call hands a question to the decision goroutine and waits for its answer.
// What cannot be taken in is Unavailable at once.
func (d *Daemon) call(ctx context.Context, ask func(now clock.Millis, t core.Ticket)) core.Answer {
	answer := make(chan core.Answer, 1)
	if !d.events.Offer(event{call: ask, answer: answer}) {
		return core.Answer{Code: core.Unavailable}
	}
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return core.Answer{Code: core.Unavailable}
	}
}

// Announce takes a server's announcement and returns whether it is held.
func (d *Daemon) Announce(ctx context.Context, r fleet.Record) core.Code {
	return d.call(ctx, func(now clock.Millis, t core.Ticket) { d.core.Announce(now, t, r) }).Code
}

// Leave takes a server's word that it has left.
func (d *Daemon) Leave(ctx context.Context, id string) core.Code {
	return d.call(ctx, func(now clock.Millis, t core.Ticket) { d.core.Leave(now, t, id) }).Code
}

// Publish puts a routing table in force.
func (d *Daemon) Publish(ctx context.Context, p *msgs.Publication) core.Code {
	start := d.clock.Now()
	a := d.call(ctx, func(now clock.Millis, t core.Ticket) { d.core.Publish(now, t, p) })
	d.publishTime.Record((d.clock.Now() - start).Duration())
	d.log.Info("Publication decided.", "version", p.Table.Version, "routes", len(p.Table.Routes),
		"outcome", a.Code.String(), "took", int64(d.clock.Now()-start))
	return a.Code
}

// Read returns the source of the newest routing table, confirmed by a quorum.
func (d *Daemon) Read(ctx context.Context) ([]byte, core.Code) {
	start := d.clock.Now()
	a := d.call(ctx, func(now clock.Millis, t core.Ticket) { d.core.Read(now, t) })
	d.log.Info("Read decided.", "outcome", a.Code.String(), "bytes", len(a.Data), "took", int64(d.clock.Now()-start))
	return a.Data, a.Code
}
