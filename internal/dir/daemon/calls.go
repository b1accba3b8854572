package daemon

import (
	"context"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/core"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/dir/order"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// call runs submit on the core goroutine and waits for the answer. It returns
// Unavailable if the queue is full or when ctx is done.
func (d *Daemon) call(ctx context.Context, submit func(now clock.Millis, callID core.CallID)) core.Answer {
	answer := make(chan core.Answer, 1)
	if !d.inbox.Offer(d.clock.Now(), order.Call, nil, event{call: submit, answer: answer}) {
		return core.Answer{Code: core.Unavailable}
	}
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return core.Answer{Code: core.Unavailable}
	}
}

// Announce applies a server's announcement and returns the outcome.
func (d *Daemon) Announce(ctx context.Context, r fleet.Record) core.Code {
	return d.call(ctx, func(now clock.Millis, callID core.CallID) { d.core.Announce(now, callID, r) }).Code
}

// Leave marks a server as left, on the server's own request.
func (d *Daemon) Leave(ctx context.Context, id string) core.Code {
	return d.call(ctx, func(now clock.Millis, callID core.CallID) { d.core.Leave(now, callID, id) }).Code
}

// Publish proposes a routing table and waits for the outcome.
func (d *Daemon) Publish(ctx context.Context, p *msgs.Publication) core.Code {
	start := d.clock.Now()
	a := d.call(ctx, func(now clock.Millis, callID core.CallID) { d.core.Publish(now, callID, p) })
	d.publishTime.Record((d.clock.Now() - start).Duration())
	d.log.Info("Publication decided.", "version", p.Table.Version, "routes", len(p.Table.Routes),
		"outcome", a.Code.String(), "took", int64(d.clock.Now()-start))
	return a.Code
}

// Read returns the source text of the newest routing table, as confirmed by a
// quorum.
func (d *Daemon) Read(ctx context.Context) ([]byte, core.Code) {
	start := d.clock.Now()
	a := d.call(ctx, func(now clock.Millis, callID core.CallID) { d.core.Read(now, callID) })
	d.log.Info("Read decided.", "outcome", a.Code.String(), "bytes", len(a.Data), "took", int64(d.clock.Now()-start))
	return a.Data, a.Code
}
