package caller

import (
	"bytes"
	"fmt"
	"net/netip"
	"time"

	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

const (
	streamPause  = 200 * time.Millisecond
	resendFlow   = 250 * time.Millisecond
	flowPatience = 12 * time.Second
	openPatience = 10 * time.Second
)

// flow is one open stream.
type flow struct {
	local  netip.AddrPort
	seq    uint32
	ack    uint32
	server string
	events chan *inner.Packet
}

// runStream opens one stream, keeps it busy until the hold time is over, and
// closes it.
func (c *Caller) runStream(i int) {
	c.mu.Lock()
	f := &flow{
		local: netip.AddrPortFrom(c.self, uint16(streamPort+i)), seq: c.rand.Uint32(),
		events: make(chan *inner.Packet, 64),
	}
	c.flows[f.local] = f
	c.report.Streams++
	c.mu.Unlock()
	reason := c.live(f)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flows, f.local)
	if reason != "" {
		c.report.Broken++
		c.report.BrokenBy[reason]++
		c.report.BrokenOn[f.server]++
		return
	}
	c.report.StreamsOpen++
}

// live returns why the stream broke, or "".
func (c *Caller) live(f *flow) string {
	syn := inner.Segment{Flags: inner.SYN, Seq: f.seq}
	if reason := c.exchange(f, syn, f.seq+1, openPatience); reason != "" {
		return "open: " + reason
	}
	f.seq++
	for n := 0; time.Since(c.start) < c.opts.Hold; n++ {
		data := fmt.Appendf(nil, "feed %s %d", f.local, n)
		seg := inner.Segment{Flags: inner.ACK, Seq: f.seq, Ack: f.ack, Payload: data}
		if reason := c.exchange(f, seg, f.seq+uint32(len(data)), flowPatience); reason != "" {
			return reason
		}
		f.seq += uint32(len(data))
		time.Sleep(streamPause)
	}
	fin := inner.Segment{Flags: inner.FIN | inner.ACK, Seq: f.seq, Ack: f.ack}
	for range 3 {
		c.spray(inner.BuildTCP(f.local, c.opts.StreamService, fin))
	}
	return ""
}

// exchange sends a segment until it is acknowledged, and returns why it was
// not, or "".
func (c *Caller) exchange(f *flow, seg inner.Segment, want uint32, patience time.Duration) string {
	end := time.Now().Add(patience)
	for time.Now().Before(end) {
		c.spray(inner.BuildTCP(f.local, c.opts.StreamService, seg))
		timer := time.After(resendFlow)
		for waiting := true; waiting; {
			select {
			case p := <-f.events:
				if done, reason := c.accept(f, p, want); done || reason != "" {
					return reason
				}
			case <-timer:
				waiting = false
			}
		}
	}
	return "silent"
}

// accept takes one segment from the server.
func (c *Caller) accept(f *flow, p *inner.Packet, want uint32) (done bool, reason string) {
	if p.Flags&inner.RST != 0 {
		return false, "reset"
	}
	if name, _, ok := bytes.Cut(p.Payload, []byte("\n")); ok {
		if f.server == "" {
			f.server = string(name)
			c.noteStream(f.server)
		}
		if f.server != string(name) {
			return false, "moved from " + f.server + " to " + string(name)
		}
	}
	f.ack = p.Seq + uint32(len(p.Payload))
	if p.Flags&inner.SYN != 0 {
		f.ack++
	}
	return p.Ack == want, ""
}

func (c *Caller) noteStream(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.StreamsBy[server]++
}

func (c *Caller) onSegment(p *inner.Packet) {
	c.mu.Lock()
	f := c.flows[p.Key.Dst()]
	c.mu.Unlock()
	if f == nil {
		return
	}
	copied := *p
	select {
	case f.events <- &copied:
	default:
	}
}
