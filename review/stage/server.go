package stage

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// flowKey identifies a flow at a server: the addresses of the client and the route.
type flowKey struct{ client, route netip.AddrPort }

type serverFlow struct {
	clientSeq, isn  uint32
	open, ended     bool
	echo            uint32
	next, sent      uint32
	answer          []byte
	answered, bound bool
}

// Opening is an opening packet that a server took.
type Opening struct {
	At     time.Time
	Client netip.AddrPort
	Route  netip.AddrPort
}

// Run is a request that a server ran.
type Run struct {
	At     time.Time
	ID     string
	Client netip.AddrPort
	Route  netip.AddrPort
}

// Server is a stand-in for one incarnation of a backend server.
type Server struct {
	ID      string
	Service string
	Addr    netip.AddrPort
	Born    int64
	// Work is how long a request takes.
	Work time.Duration
	// loss is the share of packets that the links of the server's machine lose, in
	// thousandths.
	loss     atomic.Int32
	zone     string
	number   uint64
	stage    *Stage
	conn     *net.UDPConn
	mu       sync.Mutex
	seq      uint64
	state    string
	flows    map[flowKey]*serverFlow
	openings []Opening
	runs     []Run
	stopped  chan struct{}
	once     sync.Once
	wake     chan struct{}
	// ackedAt is when the announcement that the server drains was acknowledged, and by whom.
	ackedAt time.Time
	ackedBy string
	// Targets selects the directories that the server calls, in order. It is all of them
	// if it is empty.
	Targets []*Process
}

// StartServer starts a server of a service at an address of group 3, in the n-th zone in turn,
// from zone-a on. The ID ends in the
// number's hexadecimal digits.
func (s *Stage) StartServer(service string, n int, number uint64) (*Server, error) {
	addr := netip.MustParseAddrPort(fmt.Sprintf("%s:8080", s.IP(3, n)))
	return s.StartServerAt(service, addr, zones[n%len(zones)], number, time.Now().UnixMilli())
}

// StartServerAt starts a server at an address, with the given time of its start.
func (s *Stage) StartServerAt(service string, addr netip.AddrPort, zone string, number uint64, born int64) (*Server, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	v := &Server{
		ID: fmt.Sprintf("i-%08x", number), number: number, Service: service, Addr: addr, Born: born, zone: zone,
		Work: 20 * time.Millisecond, stage: s, conn: conn, state: "ready", flows: map[flowKey]*serverFlow{},
		stopped: make(chan struct{}), wake: make(chan struct{}, 1),
	}
	s.Record.Log("server %s of %s starts at %s, born %d", v.ID, service, addr, born)
	s.wg.Add(2)
	go v.serve()
	go v.announce()
	return v, nil
}

// Stop ends the server without a word.
func (v *Server) Stop() {
	v.once.Do(func() {
		v.stage.Record.Log("server %s at %s ends", v.ID, v.Addr)
		close(v.stopped)
		_ = v.conn.Close()
	})
}

// Drain has the server announce that it drains, from now on.
func (v *Server) Drain() {
	v.mu.Lock()
	v.state = "draining"
	v.mu.Unlock()
	v.stage.Record.Log("server %s drains", v.ID)
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

// Drained returns when the drain was acknowledged, and by whom.
func (v *Server) Drained() (time.Time, string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ackedAt, v.ackedBy
}

// Openings returns the opening packets that the server has taken.
func (v *Server) Openings() []Opening {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]Opening(nil), v.openings...)
}

// Runs returns the requests that the server has run.
func (v *Server) Runs() []Run {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]Run(nil), v.runs...)
}

// Body returns an announcement with a sequence number.
func (v *Server) Body(state string, seq uint64) []byte {
	b, _ := json.Marshal(map[string]any{
		"service": v.Service, "addr": v.Addr.String(), "zone": v.zone, "version": "v1", "capacity": 8, "state": state,
		"warmup_left_ms": 0, "seq": seq, "born": v.Born,
	})
	return b
}

// Seq returns the number of the latest announcement.
func (v *Server) Seq() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.seq
}

func (v *Server) announce() {
	defer v.stage.wg.Done()
	target := rand.IntN(len(v.stage.Directories))
	for {
		targets := v.Targets
		if len(targets) == 0 {
			targets = v.stage.Directories
		}
		for try := range len(targets) {
			v.mu.Lock()
			v.seq++
			state, seq := v.state, v.seq
			v.mu.Unlock()
			d := targets[target%len(targets)]
			status, _ := v.stage.Call(http.MethodPut, d.API("/instances/"+v.ID), v.Body(state, seq), time.Second)
			if status/100 == 2 {
				v.acknowledged(state, seq, d)
				break
			}
			if status != 0 || try == 0 {
				v.stage.Record.Log("server %s: announcement %d (%s) at %s: status %d", v.ID, seq, state, d.Name, status)
			}
			target++
			select {
			case <-v.stopped:
				return
			default:
			}
		}
		select {
		case <-v.stopped:
			return
		case <-v.stage.ctx.Done():
			v.Stop()
			return
		case <-v.wake:
		case <-time.After(HeartbeatInterval):
		}
	}
}

func (v *Server) acknowledged(state string, seq uint64, d *Process) {
	v.mu.Lock()
	first := state == "draining" && v.ackedAt.IsZero()
	if first {
		v.ackedAt, v.ackedBy = time.Now(), d.Name
	}
	v.mu.Unlock()
	if first || seq == 1 {
		v.stage.Record.Log("server %s: announcement %d (%s) acknowledged by %s", v.ID, seq, state, d.Name)
	}
}

func (v *Server) serve() {
	defer v.stage.wg.Done()
	buffer := make([]byte, 2048)
	for {
		n, from, err := v.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < numberSize || v.loses() {
			continue
		}
		number := uint64(0)
		for _, b := range buffer[:numberSize] {
			number = number<<8 | uint64(b)
		}
		if number != 0 && number != v.number {
			continue
		}
		p, intact := ParsePacket(buffer[numberSize:n])
		if !intact || p.Has(FlagSYN) && p.Has(FlagACK) {
			v.stage.Record.Broken("UNASKED", "server %s got a packet from %s that its sender didn't write so", v.ID, from)
			continue
		}
		v.handle(p, from)
	}
}

// SetLoss sets the share of packets that the links of the server's machine lose, in
// thousandths, in either direction.
func (v *Server) SetLoss(thousandths int) { v.loss.Store(int32(thousandths)) }

// Zone returns the zone of the server.
func (v *Server) Zone() string { return v.zone }

// Holds reports whether the server holds a flow open.
func (v *Server) Holds(client, route netip.AddrPort) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	f := v.flows[flowKey{client, route}]
	return f != nil && f.open && !f.ended
}

func (v *Server) loses() bool { return rand.IntN(1000) < int(v.loss.Load()) }

// acceptAgain repeats the SYN+ACK of a flow that is not open yet, after 200 ms and then at
// intervals that double up to 1.6 s, 8 times at most.
func (v *Server) acceptAgain(f *serverFlow, p *Packet, tries int, interval time.Duration) {
	time.AfterFunc(interval, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		if f.open || v.flows[flowKey{p.Src, p.Dst}] != f || tries == 0 {
			return
		}
		v.send(reply(p, FlagSYN|FlagACK, f.isn, p.Seq+1, nil))
		v.acceptAgain(f, p, tries-1, min(2*interval, 1600*time.Millisecond))
	})
}

func (v *Server) send(p *Packet) {
	if v.loses() {
		return
	}
	to := netip.AddrPortFrom(p.Dst.Addr(), dataPort)
	_, _ = v.conn.WriteToUDPAddrPort(p.Encode(), to)
}

// reply returns a packet to the sender of p.
func reply(p *Packet, flags byte, seq, ack uint32, data []byte) *Packet {
	return &Packet{Src: p.Dst, Dst: p.Src, Flags: flags, Seq: seq, Ack: ack, Echo: p.Echo, Data: data}
}

func (v *Server) handle(p *Packet, from netip.AddrPort) {
	v.mu.Lock()
	defer v.mu.Unlock()
	key := flowKey{p.Src, p.Dst}
	f := v.flows[key]
	switch {
	case p.Has(FlagRST):
		delete(v.flows, key)
	case p.Has(FlagSYN):
		if f == nil || f.clientSeq != p.Seq {
			f = &serverFlow{clientSeq: p.Seq, isn: rand.Uint32(), next: p.Seq + 1}
			f.sent = f.isn + 1
			v.flows[key] = f
			v.openings = append(v.openings, Opening{time.Now(), p.Src, p.Dst})
			v.stage.Record.Log("server %s of %s (%s) takes the opening packet of %s>%s, copy %d, from %s", v.ID, v.Service, v.state, p.Src, p.Dst, p.Ack, from)
			v.acceptAgain(f, p, 8, 200*time.Millisecond)
		}
		f.echo = p.Echo
		v.send(reply(p, FlagSYN|FlagACK, f.isn, p.Seq+1, nil))
	case f == nil || !f.open && p.Ack != f.isn+1:
		v.stage.Record.Log("server %s resets %s, of which it holds no flow", v.ID, p)
		delete(v.flows, key)
		v.send(reply(p, FlagRST|FlagACK, p.Ack, p.Seq, nil))
	case f.ended && p.Has(FlagFIN):
		v.send(reply(p, FlagACK, f.sent, p.Seq+1, nil))
	case f.ended && len(p.Data) > 0:
		v.send(reply(p, FlagRST|FlagACK, p.Ack, p.Seq, nil))
	default:
		if !f.open {
			f.open = true
		}
		v.handleOpen(key, f, p)
	}
}

func (v *Server) handleOpen(key flowKey, f *serverFlow, p *Packet) {
	f.echo = p.Echo
	if p.Has(FlagFIN) {
		f.ended = true
		v.send(reply(p, FlagACK|FlagFIN, f.sent, p.Seq+1, nil))
		return
	}
	if len(p.Data) == 0 {
		return
	}
	if p.Seq != f.next {
		// A repeated request is acknowledged, and answered again once it was run.
		v.send(reply(p, FlagACK, f.sent, f.next, nil))
		if f.answered {
			v.send(&Packet{Src: p.Dst, Dst: p.Src, Flags: FlagACK, Seq: f.sent - uint32(len(f.answer)), Ack: f.next, Echo: f.echo, Data: f.answer})
		}
		return
	}
	f.next += uint32(len(p.Data))
	f.answered = false
	id := requestID(p.Data)
	v.runs = append(v.runs, Run{time.Now(), id, p.Src, p.Dst})
	v.stage.Record.Log("server %s of %s runs request %s of %s>%s", v.ID, v.Service, id, p.Src, p.Dst)
	time.AfterFunc(v.Work, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		body := "done by " + v.Service
		f.answer = []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", v.ID, id, len(body), body))
		f.answered = true
		v.send(&Packet{Src: key.route, Dst: key.client, Flags: FlagACK, Seq: f.sent, Ack: f.next, Echo: f.echo, Data: f.answer})
		f.sent += uint32(len(f.answer))
	})
}

// requestID returns the value of X-Request-Id.
func requestID(data []byte) string {
	_, rest, _ := strings.Cut(string(data), "X-Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}
