package rig

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Router forwards the packets of clients to relays in rotation, chosen by a hash of the
// addresses and ports of the flow.
type Router struct {
	deploy *Deployment
	mu     sync.Mutex
	ready  []int
}

func newRouter(d *Deployment) *Router {
	r := &Router{deploy: d}
	d.Go(r.probe)
	return r
}

// probe probes the relays twice a second. A relay that misses two probes in a row is out
// of rotation until it answers again.
func (r *Router) probe() {
	misses := make([]int, len(r.deploy.Entries))
	for i := range misses {
		misses[i] = 2
	}
	for {
		var ready []int
		for i, p := range r.deploy.Entries {
			misses[i]++
			if resp, err := httpClient.Get(fmt.Sprintf("http://%s:%d/readiness", p.IP, readyPort)); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					misses[i] = 0
				}
			}
			if misses[i] < 2 {
				ready = append(ready, i)
			}
		}
		r.mu.Lock()
		r.ready = ready
		r.mu.Unlock()
		if !r.deploy.Sleep(500 * time.Millisecond) {
			return
		}
	}
}

// Ready returns the number of relays in rotation.
func (r *Router) Ready() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ready)
}

// AwaitReady waits until all relays are in rotation. It reports whether they are in time.
func (r *Router) AwaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if r.Ready() == len(r.deploy.Entries) {
			return true
		}
		if !r.deploy.Sleep(50 * time.Millisecond) {
			return false
		}
	}
	return false
}

// relayOf returns the address of the relay for a flow, or nil.
func (r *Router) relayOf(key string) *net.UDPAddr {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ready) == 0 {
		return nil
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	i := r.ready[h.Sum32()%uint32(len(r.ready))]
	return &net.UDPAddr{IP: net.ParseIP(r.deploy.Entries[i].IP), Port: dataPort}
}

// Client is a stand-in for a client with one address.
type Client struct {
	deploy *Deployment
	ip     [4]byte
	conn   *net.UDPConn
	mu     sync.Mutex
	flows  map[uint16]*Flow
	port   uint16
	// Lost, unless it is nil, reports whether the link to a relay loses a packet.
	Lost func(relay string) bool
}

// AddClient starts a client.
func (d *Deployment) AddClient(i int) (*Client, error) {
	ip := net.ParseIP(d.ip(clientGroup, i))
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: ip, Port: dataPort})
	if err != nil {
		return nil, err
	}
	c := &Client{deploy: d, ip: [4]byte(ip.To4()), conn: conn, flows: map[uint16]*Flow{}, port: 10000}
	d.clients = append(d.clients, c)
	go c.listen()
	return c, nil
}

func (c *Client) listen() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		p, ok := parsePacket(buf[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dport]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		select {
		case f.in <- p:
		default:
		}
	}
}

// Outcome is how the opening of a flow or a request ended.
type Outcome int

// Outcomes. ResetBySystem is a reset with the checksum 0, which no server makes.
const (
	OK Outcome = iota
	TimedOut
	ResetByServer
	ResetBySystem
)

// String returns the outcome in words.
func (o Outcome) String() string {
	return [...]string{"ok", "timed out", "reset by a server", "reset by the system"}[o]
}

// Flow is the client's end of a flow.
type Flow struct {
	client   *Client
	port     uint16
	dport    uint16
	in       chan packet
	seq, ack uint32
	echo     uint32
	// SentAt holds when each copy of the opening packet was sent.
	SentAt []time.Time
}

// Times of the copies of an opening packet, and when a client gives up.
const (
	firstCopy  = 200 * time.Millisecond
	secondCopy = 600 * time.Millisecond
	openLimit  = 1400 * time.Millisecond
)

// Open opens a flow to a route.
func (c *Client) Open(dport int) (*Flow, Outcome) {
	c.mu.Lock()
	if c.port++; c.port > 60000 {
		c.port = 10001
	}
	f := &Flow{client: c, port: c.port, dport: uint16(dport), in: make(chan packet, 32), seq: rand.Uint32()}
	c.flows[f.port] = f
	c.mu.Unlock()
	start := time.Now()
	for i, until := range []time.Duration{firstCopy, secondCopy, openLimit} {
		f.SentAt = append(f.SentAt, time.Now())
		f.send(flagSyn, uint32(i), nil)
		timer := time.NewTimer(time.Until(start.Add(until)))
		outcome, done := f.awaitOpen(timer.C)
		timer.Stop()
		if done {
			if outcome != OK {
				f.forget()
			}
			return f, outcome
		}
	}
	f.forget()
	return f, TimedOut
}

func (f *Flow) awaitOpen(timeout <-chan time.Time) (o Outcome, done bool) {
	for {
		select {
		case p := <-f.in:
			switch {
			case p.flags&flagReset != 0:
				return resetOutcome(&p), true
			case p.flags&flagSyn != 0:
				f.echo, f.ack = p.echo, p.seq+1
				f.seq++
				f.send(flagAck, f.ack, nil)
				return OK, true
			}
		case <-timeout:
			return TimedOut, false
		}
	}
}

func resetOutcome(p *packet) Outcome {
	if p.sum == 0 {
		return ResetBySystem
	}
	return ResetByServer
}

// Request sends a request and waits for the response. A reset by the system counts only if
// its sequence number is near the last acknowledgement.
func (f *Flow) Request(id string, deadline time.Duration) Outcome {
	data := fmt.Appendf(nil, "GET / HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n\r\n", RouteHost, id)
	wait := 200 * time.Millisecond
	for end := time.Now().Add(deadline); time.Now().Before(end); wait = min(2*wait, 1600*time.Millisecond) {
		f.send(flagAck, f.ack, data)
		timer := time.NewTimer(min(wait, time.Until(end)))
		outcome, done := f.awaitResponse(timer.C, uint32(len(data)))
		timer.Stop()
		if done {
			return outcome
		}
	}
	return TimedOut
}

func (f *Flow) awaitResponse(timeout <-chan time.Time, sent uint32) (o Outcome, done bool) {
	const window = 76800
	for {
		select {
		case p := <-f.in:
			if p.flags&flagReset != 0 {
				if o := resetOutcome(&p); o == ResetByServer || p.seq-f.ack+window <= 2*window {
					return o, true
				}
				continue
			}
			f.echo = p.echo
			if p.seq != f.ack || len(p.data) == 0 {
				continue
			}
			f.seq += sent
			f.ack += uint32(len(p.data))
			f.send(flagAck, f.ack, nil)
			return OK, true
		case <-timeout:
			return TimedOut, false
		}
	}
}

// Close ends the flow with a FIN.
func (f *Flow) Close() {
	f.send(flagFin|flagAck, f.ack, nil)
	f.forget()
}

func (f *Flow) forget() {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	delete(f.client.flows, f.port)
}

func (f *Flow) packet(flags byte, ack uint32, data []byte) *packet {
	p := &packet{seq: f.seq, ack: ack, echo: f.echo, src: f.client.ip, sport: f.port, dst: [4]byte{198, 18, 0, 1}, dport: f.dport, flags: flags, data: data}
	if flags&flagSyn != 0 {
		p.echo = 0
	}
	return p
}

// Key names the flow, as Opening.Key does.
func (f *Flow) Key() string { return f.packet(0, 0, nil).key() }

func (f *Flow) send(flags byte, ack uint32, data []byte) {
	to := f.client.deploy.Router.relayOf(f.Key())
	if to == nil || f.client.Lost != nil && f.client.Lost(to.IP.String()) {
		return
	}
	_, _ = f.client.conn.WriteToUDP(f.packet(flags, ack, data).encode(), to)
}

// requestID returns the id in a request.
func requestID(data []byte) string {
	_, rest, _ := strings.Cut(string(data), "X-Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}
