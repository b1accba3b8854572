package client

import (
	"bytes"
	"fmt"
	"net/netip"
	"time"

	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

const (
	streamSendInterval    = 200 * time.Millisecond
	streamRetransmitDelay = 250 * time.Millisecond
	streamDataTimeout     = 12 * time.Second
	streamOpenTimeout     = 10 * time.Second
)

// stream is the client side of one TCP connection.
type stream struct {
	local netip.AddrPort
	seq   uint32
	ack   uint32
	// server is the server that the first data came from, or "".
	server   string
	segments chan *inner.Packet
}

// runStream opens one stream, sends data on it until the hold time is over,
// closes it and counts how it ended.
func (c *Client) runStream(i int) {
	c.mu.Lock()
	st := &stream{
		local: netip.AddrPortFrom(c.clientIP, uint16(streamPortBase+i)), seq: c.rand.Uint32(),
		segments: make(chan *inner.Packet, 64),
	}
	c.streams[st.local] = st
	c.report.Streams++
	c.mu.Unlock()
	reason := c.holdStream(st)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, st.local)
	if reason != "" {
		c.report.BrokenStreams++
		c.report.BrokenByReason[reason]++
		c.report.BrokenByServer[st.server]++
		return
	}
	c.report.StreamsOpenAtEnd++
}

// holdStream opens the stream, sends one segment of data after another until
// the hold time is over, and closes it. It returns why the stream broke, or "".
func (c *Client) holdStream(st *stream) string {
	syn := inner.Segment{Flags: inner.SYN, Seq: st.seq}
	if reason := c.sendUntilAcked(st, syn, st.seq+1, streamOpenTimeout); reason != "" {
		return "open: " + reason
	}
	st.seq++
	for n := 0; time.Since(c.startedAt) < c.opts.HoldTime; n++ {
		data := fmt.Appendf(nil, "feed %s %d", st.local, n)
		seg := inner.Segment{Flags: inner.ACK, Seq: st.seq, Ack: st.ack, Payload: data}
		if reason := c.sendUntilAcked(st, seg, st.seq+uint32(len(data)), streamDataTimeout); reason != "" {
			return reason
		}
		st.seq += uint32(len(data))
		time.Sleep(streamSendInterval)
	}
	fin := inner.Segment{Flags: inner.FIN | inner.ACK, Seq: st.seq, Ack: st.ack}
	// The client does not wait for the acknowledgement of its FIN, so it sends
	// several.
	for range 3 {
		c.sendToRandomHost(inner.BuildTCP(st.local, c.opts.StreamService, fin))
	}
	return ""
}

// sendUntilAcked sends a segment and retransmits it until the server replies with
// the acknowledgement number wantAck. It returns why the stream broke, or "".
func (c *Client) sendUntilAcked(st *stream, seg inner.Segment, wantAck uint32, timeout time.Duration) string {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		c.sendToRandomHost(inner.BuildTCP(st.local, c.opts.StreamService, seg))
		timer := time.After(streamRetransmitDelay)
		for waiting := true; waiting; {
			select {
			case p := <-st.segments:
				if acked, reason := c.processSegment(st, p, wantAck); acked || reason != "" {
					return reason
				}
			case <-timer:
				waiting = false
			}
		}
	}
	return "silent"
}

// processSegment processes one segment from the server. It reports whether the
// segment has the acknowledgement number wantAck, and why the stream broke, or "".
func (c *Client) processSegment(st *stream, p *inner.Packet, wantAck uint32) (acked bool, reason string) {
	if p.Flags&inner.RST != 0 {
		return false, "reset"
	}
	if name, _, ok := bytes.Cut(p.Payload, []byte("\n")); ok {
		if st.server == "" {
			st.server = string(name)
			c.countStream(st.server)
		}
		if st.server != string(name) {
			return false, "moved from " + st.server + " to " + string(name)
		}
	}
	st.ack = p.Seq + uint32(len(p.Payload))
	if p.Flags&inner.SYN != 0 {
		st.ack++
	}
	return p.Ack == wantAck, ""
}

func (c *Client) countStream(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.StreamsByServer[server]++
}

func (c *Client) onSegment(p *inner.Packet) {
	c.mu.Lock()
	st := c.streams[p.Key.Dst()]
	c.mu.Unlock()
	if st == nil {
		return
	}
	copied := *p
	select {
	case st.segments <- &copied:
	default:
	}
}
