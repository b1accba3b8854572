package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"monsooncleat.example/monsooncleat/internal/base/ring"
	"monsooncleat.example/monsooncleat/internal/wire/frame"
)

const (
	peerQueueSize = 1024 // frames for each address
	// A powered-off host does not answer the SYN, and the kernel resends it only
	// after a second. All frames queued for its address wait for the timeout, also
	// those for a process that was started at that address in the meantime. So the
	// timeout and the delay before the next attempt start short. After quickDials
	// failures they double with each one up to a maximum, which exceeds the round-trip
	// time between data centres.
	firstDialTimeout = 75 * time.Millisecond
	maxDialTimeout   = 300 * time.Millisecond
	firstRedialDelay = 25 * time.Millisecond
	maxRedialDelay   = 200 * time.Millisecond
	quickDials       = 8
	writeTimeout     = 2 * time.Second
)

// Peers sends frames to other processes over one connection for each address,
// dialed on first use. A frame for an unreachable peer is dropped: the protocols
// on top retransmit what must arrive.
type Peers struct {
	key      frame.Key
	handler  Handler
	mu       sync.Mutex
	senders  map[string]*sender
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	bytesOut atomic.Uint64
	bytesIn  atomic.Uint64
	dropped  atomic.Uint64
	resets   atomic.Uint64
}

// NewPeers returns a Peers that passes received replies to handler.
func NewPeers(key frame.Key, handler Handler) *Peers {
	ctx, cancel := context.WithCancel(context.Background())
	return &Peers{key: key, handler: handler, senders: map[string]*sender{}, ctx: ctx, cancel: cancel}
}

// Send queues body for the process at addr and reports whether there was room in
// the queue. If not, body is dropped.
func (p *Peers) Send(addr string, body []byte) bool {
	p.mu.Lock()
	s := p.senders[addr]
	if s == nil {
		s = &sender{parent: p, addr: addr, queue: ring.New[[]byte](peerQueueSize)}
		p.senders[addr] = s
		p.wg.Go(s.run)
	}
	p.mu.Unlock()
	return s.queue.Offer(body)
}

// BytesOut returns the number of bytes sent, with frame headers.
func (p *Peers) BytesOut() uint64 { return p.bytesOut.Load() }

// BytesIn returns the total length of the received reply bodies in bytes. Unlike
// BytesOut and Server.BytesIn, it excludes frame headers.
func (p *Peers) BytesIn() uint64 { return p.bytesIn.Load() }

// Dropped returns the number of frames that were taken from a queue but could not
// be sent. Frames that Send drops because the queue is full are not counted.
func (p *Peers) Dropped() uint64 { return p.dropped.Load() }

// Resets returns the number of calls of Reset.
func (p *Peers) Resets() uint64 { return p.resets.Load() }

// Depth returns the number of queued frames for all peers.
func (p *Peers) Depth() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	depth := 0
	for _, s := range p.senders {
		depth += s.queue.Depth()
	}
	return depth
}

// Close closes all connections. Queued frames are dropped.
func (p *Peers) Close() {
	p.cancel()
	p.wg.Wait()
}

// Reset makes the sender for addr close its connection and dial again before it
// writes the next frame. Use it when replies from addr have stopped arriving.
func (p *Peers) Reset(addr string) {
	p.resets.Add(1)
	p.mu.Lock()
	s := p.senders[addr]
	p.mu.Unlock()
	if s != nil {
		s.redial.Store(true)
	}
}

// sender writes the queued frames for one address and owns its connection.
type sender struct {
	parent     *Peers
	addr       string
	queue      *ring.Ring[[]byte]
	conn       net.Conn
	encoder    *frame.Encoder
	nextDialAt time.Time
	// failures counts the failed dials since the last connection.
	failures int
	// redial makes the sender dial again before the next frame.
	redial atomic.Bool
}

func (s *sender) run() {
	defer s.closeConn()
	for {
		select {
		case <-s.parent.ctx.Done():
			return
		case body := <-s.queue.Items():
			if !s.write(body) {
				s.parent.dropped.Add(1)
			}
		}
	}
}

// write sends body and reports success. When the peer has closed the connection
// since the last frame, it dials once more, so that a restarted peer does not
// miss the first frame.
func (s *sender) write(body []byte) bool {
	if s.redial.Swap(false) {
		s.closeConn()
	}
	if s.conn != nil && s.writeOnce(body) {
		return true
	}
	return s.dial() && s.writeOnce(body)
}

func (s *sender) writeOnce(body []byte) bool {
	b := s.encoder.Append(nil, body)
	_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.conn.Write(b); err != nil {
		s.closeConn()
		return false
	}
	s.parent.bytesOut.Add(uint64(len(b)))
	return true
}

func (s *sender) dial() bool {
	if time.Now().Before(s.nextDialAt) {
		return false
	}
	d := net.Dialer{Timeout: backoff(firstDialTimeout, s.failures, maxDialTimeout), Control: setUserTimeout}
	conn, err := d.DialContext(s.parent.ctx, "tcp", s.addr)
	if err != nil {
		s.nextDialAt = time.Now().Add(backoff(firstRedialDelay, s.failures, maxRedialDelay))
		s.failures++
		return false
	}
	s.conn, s.failures = conn, 0
	s.encoder = frame.NewEncoder(s.parent.key)
	s.parent.wg.Go(func() { s.parent.read(conn) })
	return true
}

// backoff returns first, doubled with each failure after quickDials, but at most
// limit.
func backoff(first time.Duration, failures int, limit time.Duration) time.Duration {
	for failures -= quickDials; failures > 0 && first < limit; failures-- {
		first *= 2
	}
	return min(first, limit)
}

func (s *sender) closeConn() {
	if s.conn != nil {
		_ = s.conn.Close()
		s.conn = nil
	}
}

// read passes the replies on conn to the handler until reading fails. It then
// closes conn, so that the next write fails and the sender dials again.
func (p *Peers) read(conn net.Conn) {
	defer conn.Close()
	dec := frame.NewDecoder(p.key)
	for {
		body, err := dec.Read(conn)
		if err != nil {
			return
		}
		p.bytesIn.Add(uint64(len(body)))
		p.handler(discardReplier{}, body)
	}
}

// discardReplier is the Replier for frames that are replies themselves.
type discardReplier struct{}

func (discardReplier) Reply([]byte) {}

// Call dials addr, sends body and returns the first reply. The deadline of ctx
// bounds the whole exchange.
func Call(ctx context.Context, addr string, key frame.Key, body []byte) ([]byte, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	if _, err := conn.Write(frame.NewEncoder(key).Append(nil, body)); err != nil {
		return nil, err
	}
	return frame.NewDecoder(key).Read(conn)
}
