package daemon

import (
	"net/netip"
	"time"

	"github.com/panjf2000/gnet/v2"

	"monsooncleat.example/monsooncleat/internal/base/clock"
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
}

func newShaping(settings *site.Settings) shaping {
	if settings.LinkRate <= 0 || settings.Off.Has(tune.Shaping) {
		return shaping{}
	}
	return shaping{shaper: shape.New(shape.Options{LinkRate: settings.LinkRate})}
}

// shapingWait stands for the wait of packets of a flow that the shaper delays. It is more
// than the wait up to which packets tell how fast a server answers.
const shapingWait = clock.Second

// waited returns for how long f.packet may have waited if it waited for the given time
// until it was read. Packets of a flow that the shaper delays are answered late through
// no fault of the server.
func (f *forwarder) waited(now, untilRead clock.Millis) clock.Millis {
	if f.shaping.shaper != nil && f.shaping.shaper.Delayed(now, &shape.Flow{Client: f.packet.From, Route: f.packet.To}) {
		return max(untilRead, shapingWait)
	}
	return untilRead
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
	if sent > 0 {
		f.d.log.Info("Waiting packets sent at the stop.", "packets", sent)
	}
}
