package soak_test

import (
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"time"
)

// A packet's head, as platform/ reads it: the stand-ins write it on their own.
const (
	headSize  = 32
	flagReset = 1
	flagSyn   = 2
	flagFin   = 8
	flagAck   = 128
)

type head struct {
	seq, ack, echo uint32
	src, dst       [4]byte
	sport, dport   uint16
	flags          byte
	data           []byte
}

func (h *head) bytes() []byte {
	b := make([]byte, headSize, headSize+len(h.data))
	binary.BigEndian.PutUint32(b[4:], h.seq)
	binary.BigEndian.PutUint32(b[8:], h.ack)
	binary.BigEndian.PutUint16(b[12:], uint16(len(h.data)))
	copy(b[14:], h.dst[:])
	copy(b[18:], h.src[:])
	binary.BigEndian.PutUint16(b[22:], h.sport)
	binary.BigEndian.PutUint16(b[24:], h.dport)
	b[26] = h.flags
	binary.BigEndian.PutUint32(b[28:], h.echo)
	return append(b, h.data...)
}

func parse(b []byte) (h head, ok bool) {
	if len(b) < headSize {
		return h, false
	}
	h = head{
		seq: binary.BigEndian.Uint32(b[4:]), ack: binary.BigEndian.Uint32(b[8:]), echo: binary.BigEndian.Uint32(b[28:]),
		sport: binary.BigEndian.Uint16(b[22:]), dport: binary.BigEndian.Uint16(b[24:]), flags: b[26], data: b[headSize:],
	}
	copy(h.dst[:], b[14:])
	copy(h.src[:], b[18:])
	return h, true
}

// reply returns the head of a packet in the other direction.
func (h *head) reply(flags byte, seq, ack uint32, data []byte) *head {
	return &head{
		seq: seq, ack: ack, echo: h.echo, src: h.dst, dst: h.src, sport: h.dport, dport: h.sport, flags: flags, data: data,
	}
}

func (h *head) key() string { return fmt.Sprintf("%v:%d>%v:%d", h.src, h.sport, h.dst, h.dport) }

// server is a stand-in for a backend server.
type server struct {
	w       *world
	id      string
	number  uint64
	service string
	address string
	conn    *net.UDPConn

	mu sync.Mutex
	// seq counts the announcements.
	seq      int
	draining bool
	flows    map[string]uint32
	// drained is when its drain was acknowledged.
	drained time.Time
	// leaving is when the server first said that it leaves.
	leaving time.Time
	closed  bool
}

func (s *server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leaving.IsZero()
}

// serve answers packets until the socket closes.
func (s *server) serve() {
	buf := make([]byte, 2048)
	for {
		n, _, err := s.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if n < 8 || binary.BigEndian.Uint64(buf) != s.number {
			// A server of another service now holds the address.
			continue
		}
		if h, ok := parse(append([]byte(nil), buf[8:n]...)); ok {
			s.take(&h)
		}
	}
}

func (s *server) take(h *head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	own, open := s.flows[h.key()]
	switch {
	case h.flags&flagSyn != 0:
		if !open {
			own = s.w.draw()
			s.flows[h.key()] = own
			s.w.opened(s, h)
		}
		s.answer(h.reply(flagSyn|flagAck, own, h.seq+1, nil))
	case !open:
		s.answer(h.reply(flagReset, h.ack, 0, nil))
	case h.flags&flagFin != 0:
		delete(s.flows, h.key())
	case len(h.data) > 0:
		s.w.ran(s, h)
		s.answer(h.reply(flagAck, h.ack, h.seq+uint32(len(h.data)), h.data))
	}
}

func (s *server) answer(h *head) {
	to := &net.UDPAddr{IP: h.dst[:], Port: s.w.packets}
	_, _ = s.conn.WriteToUDP(h.bytes(), to)
}

// caller is a stand-in for a customer's device with one address.
type caller struct {
	w    *world
	ip   [4]byte
	conn *net.UDPConn
	mu   sync.Mutex
	ends map[uint16]chan head
	port uint16
}

func (c *caller) listen() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		h, ok := parse(append([]byte(nil), buf[:n]...))
		if !ok {
			continue
		}
		c.mu.Lock()
		end := c.ends[h.dport]
		c.mu.Unlock()
		select {
		case end <- h:
		default:
		}
	}
}

// flow is the caller's end of a flow.
type flow struct {
	c        *caller
	port     uint16
	route    uint16
	in       chan head
	seq, ack uint32
	echo     uint32
}

const (
	resend   = 200 * time.Millisecond
	patience = 3 * time.Second
)

// open opens a flow, or returns nil.
func (c *caller) open(route uint16) *flow {
	c.mu.Lock()
	c.port++
	f := &flow{c: c, port: 10000 + c.port, route: route, in: make(chan head, 16), seq: c.w.draw()}
	c.ends[f.port] = f.in
	c.mu.Unlock()
	for copies := range uint32(3) {
		f.send(flagSyn, copies, nil)
		for deadline := time.After(2 * resend); ; {
			select {
			case h := <-f.in:
				if h.flags&flagReset != 0 {
					f.close()
					return nil
				}
				if h.flags&flagSyn != 0 {
					f.echo, f.ack = h.echo, h.seq+1
					f.seq++
					f.send(flagAck, f.ack, nil)
					return f
				}
				continue
			case <-deadline:
			}
			break
		}
	}
	f.close()
	return nil
}

// packet returns a packet of the flow.
func (f *flow) packet(flags byte, ack uint32, data []byte) *head {
	return &head{
		seq: f.seq, ack: ack, echo: f.echo, src: f.c.ip, sport: f.port, dst: [4]byte{198, 18, 0, 1}, dport: f.route,
		flags: flags, data: data,
	}
}

func (f *flow) key() string { return f.packet(0, 0, nil).key() }

func (f *flow) send(flags byte, ack uint32, data []byte) {
	f.c.w.route(f.c, f.packet(flags, ack, data))
}

type outcome uint8

const (
	answered outcome = iota
	silent
	reset
)

// ask sends a request with an ID until it is answered.
func (f *flow) ask(id uint64) outcome {
	data := binary.BigEndian.AppendUint64(nil, id)
	wait := resend
	for end := time.Now().Add(patience); time.Now().Before(end); wait *= 2 {
		f.send(flagAck, f.ack, data)
		for deadline := time.After(wait); ; {
			select {
			case h := <-f.in:
				f.echo = h.echo
				if h.flags&flagReset != 0 {
					return reset
				}
				if len(h.data) == 8 && binary.BigEndian.Uint64(h.data) == id {
					f.seq += 8
					f.ack += 8
					f.send(flagAck, f.ack, nil)
					return answered
				}
				continue
			case <-deadline:
			}
			break
		}
	}
	return silent
}

func (f *flow) close() {
	f.c.mu.Lock()
	delete(f.c.ends, f.port)
	f.c.mu.Unlock()
}

func (f *flow) finish() {
	f.send(flagFin|flagAck, f.ack, nil)
	f.close()
}
