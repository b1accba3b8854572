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
	peerRing = 1024
	// dialTimeout covers the round trip between regions. A host without power
	// answers no dial, and frames to its successor wait behind it.
	dialTimeout  = 300 * time.Millisecond
	writeTimeout = 2 * time.Second
	redialPause  = 200 * time.Millisecond
)

// Peers sends frames to other processes over one connection for each address,
// dialed on first use. A frame for a peer that cannot be reached is dropped:
// the protocols above repeat what matters.
type Peers struct {
	key     frame.Key
	handler Handler
	mu      sync.Mutex
	peers   map[string]*sender
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	out     atomic.Uint64
	in      atomic.Uint64
	dropped atomic.Uint64
}

// NewPeers returns a Peers that hands replies to handler.
func NewPeers(key frame.Key, handler Handler) *Peers {
	ctx, cancel := context.WithCancel(context.Background())
	return &Peers{key: key, handler: handler, peers: map[string]*sender{}, ctx: ctx, cancel: cancel}
}

// Send queues body for the process at addr. It reports false when the queue
// is full and the frame was dropped.
func (p *Peers) Send(addr string, body []byte) bool {
	p.mu.Lock()
	s := p.peers[addr]
	if s == nil {
		s = &sender{owner: p, addr: addr, ring: ring.New[[]byte](peerRing)}
		p.peers[addr] = s
		p.wg.Go(s.run)
	}
	p.mu.Unlock()
	return s.ring.Offer(body)
}

// BytesOut returns the bytes sent so far.
func (p *Peers) BytesOut() uint64 { return p.out.Load() }

// BytesIn returns the bytes received as replies so far.
func (p *Peers) BytesIn() uint64 { return p.in.Load() }

// Dropped returns the frames dropped because a peer was out of reach.
func (p *Peers) Dropped() uint64 { return p.dropped.Load() }

// Depth returns the frames that wait over all peers.
func (p *Peers) Depth() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	depth := 0
	for _, s := range p.peers {
		depth += s.ring.Depth()
	}
	return depth
}

// Close ends all connections. Frames still queued are dropped.
func (p *Peers) Close() {
	p.cancel()
	p.wg.Wait()
}

// Reset closes the connection to addr, so that the next frame dials again. Its
// caller has found that replies no longer come.
func (p *Peers) Reset(addr string) {
	p.mu.Lock()
	s := p.peers[addr]
	p.mu.Unlock()
	if s != nil {
		s.reset.Store(true)
	}
}

// sender owns the connection to one address.
type sender struct {
	owner   *Peers
	addr    string
	ring    *ring.Ring[[]byte]
	conn    net.Conn
	encoder *frame.Encoder
	retryAt time.Time
	// reset asks the sender to dial again before the next frame.
	reset atomic.Bool
}

func (s *sender) run() {
	defer s.hangUp()
	for {
		select {
		case <-s.owner.ctx.Done():
			return
		case body := <-s.ring.Items():
			if !s.write(body) {
				s.owner.dropped.Add(1)
			}
		}
	}
}

// write sends body. A connection that the peer closed since the last frame is
// dialed again once, because a restarted peer would else miss the first frame.
func (s *sender) write(body []byte) bool {
	if s.reset.Swap(false) {
		s.hangUp()
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
		s.hangUp()
		return false
	}
	s.owner.out.Add(uint64(len(b)))
	return true
}

func (s *sender) dial() bool {
	if time.Now().Before(s.retryAt) {
		return false
	}
	d := net.Dialer{Timeout: dialTimeout, Control: boundSilence}
	conn, err := d.DialContext(s.owner.ctx, "tcp", s.addr)
	if err != nil {
		s.retryAt = time.Now().Add(redialPause)
		return false
	}
	s.conn = conn
	s.encoder = frame.NewEncoder(s.owner.key)
	s.owner.wg.Go(func() { s.owner.read(conn) })
	return true
}

func (s *sender) hangUp() {
	if s.conn != nil {
		_ = s.conn.Close()
		s.conn = nil
	}
}

// read hands on the replies of conn until it closes. Closing conn also makes
// the next write fail, so that the sender dials again.
func (p *Peers) read(conn net.Conn) {
	defer conn.Close()
	dec := frame.NewDecoder(p.key)
	for {
		body, err := dec.Read(conn)
		if err != nil {
			return
		}
		p.in.Add(uint64(len(body)))
		p.handler(silent{}, body)
	}
}

// silent is the Replier of frames that are replies themselves.
type silent struct{}

func (silent) Reply([]byte) {}

// Call dials addr, sends body and returns the first reply.
func Call(ctx context.Context, addr string, key frame.Key, body []byte) ([]byte, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if end, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(end)
	}
	if _, err := conn.Write(frame.NewEncoder(key).Append(nil, body)); err != nil {
		return nil, err
	}
	return frame.NewDecoder(key).Read(conn)
}
