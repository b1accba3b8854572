package rig

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Opening is the opening packet of a flow that a server took.
type Opening struct {
	Server *Server
	// Key names the flow, Port is that of its route.
	Key  string
	Port int
	// Copy is the number of transmissions before this one.
	Copy int
	// Relay is the address of the relay that sent the packet.
	Relay string
	At    time.Time
}

// Hooks are called by servers. Each may be nil.
type Hooks struct {
	// Lost reports whether the link from a relay loses a packet to a server.
	Lost func(s *Server, relay string) bool
	// Opened is called when a flow opens.
	Opened func(o Opening)
	// Ran is called when a request runs.
	Ran func(s *Server, key, request string)
}

// Server is a stand-in for a backend server.
type Server struct {
	ID, Service, Zone, Addr string
	// Born is the start in Unix milliseconds.
	Born   int64
	deploy *Deployment
	hooks  Hooks
	number uint64
	conn   *net.UDPConn
	health net.Listener
	done   chan struct{}

	mu       sync.Mutex
	seq      int
	state    string
	flows    map[string]*serverFlow
	stopped  bool
	unacked  int
	lastBeat time.Time
}

// serverFlow is a flow on a server. It is open once the client has acknowledged isn.
type serverFlow struct {
	isn       uint32
	clientSeq uint32
	opening   Opening
	open      bool
	// received is the end of the client's data, sent that of the server's.
	received, sent uint32
	response       []byte
	ended          bool
}

// AddServer starts a server that announces itself.
func (d *Deployment) AddServer(i int, service string, hooks Hooks) (*Server, error) {
	ip := d.ip(serverGroup, i)
	number := uint64(rand.Uint32()) | 1<<31
	s := &Server{
		ID: fmt.Sprintf("i-%08x", number), Service: service, Zone: zones[i%len(zones)], Addr: ip + ":8080", Born: time.Now().UnixMilli(),
		deploy: d, hooks: hooks, number: number, done: make(chan struct{}), state: "ready", flows: map[string]*serverFlow{},
	}
	var err error
	if s.conn, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: 8080}); err != nil {
		return nil, err
	}
	if s.health, err = net.Listen("tcp", s.Addr); err != nil {
		return nil, err
	}
	d.servers = append(d.servers, s)
	go func() { _ = http.Serve(s.health, http.HandlerFunc(s.serveHealth)) }()
	go s.serve()
	d.Go(s.announce)
	return s, nil
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Instance-Id", s.ID)
	if s.State() != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// State returns the announced state.
func (s *Server) State() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// OpenFlows returns the number of open flows.
func (s *Server) OpenFlows() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, f := range s.flows {
		if f.open && !f.ended {
			n++
		}
	}
	return n
}

// Holds reports whether the server holds a flow open.
func (s *Server) Holds(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[key]
	return f != nil && f.open && !f.ended
}

// Unacknowledged returns the number of announcements without an acknowledgement, and when
// the latest was acknowledged.
func (s *Server) Unacknowledged() (calls int, last time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unacked, s.lastBeat
}

// Beat is the body of an announcement.
type Beat struct {
	Service  string `json:"service"`
	Addr     string `json:"addr"`
	Zone     string `json:"zone"`
	Version  string `json:"version,omitempty"`
	Capacity int    `json:"capacity"`
	State    string `json:"state"`
	Warmup   *int   `json:"warmup_left_ms,omitempty"`
	Seq      int    `json:"seq"`
	Born     int64  `json:"born,omitempty"`
}

// Body returns the body of the next announcement.
func (s *Server) Body() Beat {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	warmup := 0
	return Beat{s.Service, s.Addr, s.Zone, "v1", 3, s.state, &warmup, s.seq, s.Born}
}

// announce sends announcements until the server stops.
func (s *Server) announce() {
	for {
		s.Announce()
		select {
		case <-s.done:
			return
		case <-time.After(HeartbeatEvery):
		}
	}
}

// Announce sends an announcement to one directory after the other until one acknowledges
// it, and reports whether one did.
func (s *Server) Announce() bool {
	first := rand.IntN(s.deploy.Directories)
	for i := range s.deploy.Directories {
		status, _ := s.deploy.call((first+i)%s.deploy.Directories, http.MethodPut, "/instances/"+s.ID, s.Body())
		s.mu.Lock()
		if status/100 == 2 {
			s.lastBeat = time.Now()
			s.mu.Unlock()
			return true
		}
		s.unacked++
		s.mu.Unlock()
		select {
		case <-s.done:
			return false
		default:
		}
	}
	return false
}

// Drain announces that the server drains until that is acknowledged, and returns when it
// was, or the zero time.
func (s *Server) Drain() time.Time {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	for range 10 {
		if s.Announce() {
			return time.Now()
		}
	}
	return time.Time{}
}

// Leave removes the server from the directory and stops it.
func (s *Server) Leave() {
	s.deploy.callAny(http.MethodDelete, "/instances/"+s.ID, nil, 2*time.Second)
	s.Stop()
}

// Stop ends the server and its flows.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.stopped = true
	close(s.done)
	_, _ = s.conn.Close(), s.health.Close()
}

func (s *Server) serve() {
	buf := make([]byte, 2048)
	for {
		n, from, err := s.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		relay := from.IP.String()
		if number := binary.BigEndian.Uint64(buf); number != 0 && number != s.number {
			continue
		}
		if s.hooks.Lost != nil && s.hooks.Lost(s, relay) {
			continue
		}
		if p, ok := parsePacket(buf[8:n]); ok {
			s.handle(&p, relay)
		}
	}
}

func (s *Server) handle(p *packet, relay string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := p.key()
	f := s.flows[key]
	switch {
	case p.flags&flagReset != 0:
		delete(s.flows, key)
	case p.flags&flagSyn != 0:
		if f == nil || f.clientSeq != p.seq {
			isn := rand.Uint32()
			f = &serverFlow{
				isn: isn, clientSeq: p.seq, received: p.seq + 1, sent: isn + 1,
				opening: Opening{Server: s, Key: key, Port: int(p.dport), Copy: int(p.ack), Relay: relay, At: time.Now()},
			}
			s.flows[key] = f
		}
		s.send(p.reply(flagSyn|flagAck, f.isn, p.seq+1, nil))
	case f == nil, !f.open && p.ack != f.isn+1:
		s.send(p.reply(flagReset, p.ack, p.seq, nil))
	default:
		s.handleOpen(f, p)
	}
}

func (s *Server) handleOpen(f *serverFlow, p *packet) {
	if !f.open {
		f.open = true
		if s.hooks.Opened != nil {
			s.hooks.Opened(f.opening)
		}
	}
	if len(p.data) > 0 && f.ended {
		s.send(p.reply(flagReset, p.ack, p.seq, nil))
		return
	}
	if len(p.data) > 0 {
		if p.seq == f.received {
			f.received += uint32(len(p.data))
			f.response = []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			f.sent += uint32(len(f.response))
			if s.hooks.Ran != nil {
				s.hooks.Ran(s, p.key(), requestID(p.data))
			}
		}
		s.send(p.reply(flagAck, f.sent-uint32(len(f.response)), f.received, f.response))
	}
	if p.flags&flagFin != 0 {
		f.ended = true
		s.send(p.reply(flagAck|flagFin, f.sent, p.seq+uint32(len(p.data))+1, nil))
	}
}

// send sends a packet to a client. It must be called with the lock held.
func (s *Server) send(p *packet) {
	_, _ = s.conn.WriteToUDP(p.encode(), &net.UDPAddr{IP: net.IP(p.dst[:]), Port: dataPort})
}
