package stage

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Client is a stand-in for a client. It opens flows from ports of its own address.
type Client struct {
	stage *Stage
	ip    netip.Addr
	conn  *net.UDPConn
	mu    sync.Mutex
	port  uint16
	flows map[uint16]*Flow
}

// Flow is a flow of a client.
type Flow struct {
	client *Client
	src    netip.AddrPort
	dst    netip.AddrPort
	isn    uint32
	in     chan received
	// seq and ack are the next numbers of either direction, echo the last one received.
	seq, ack, echo uint32
	// Server is the ID of the server that answered last.
	Server string
	// ResetFrom is the address that the reset came from that ended the flow.
	ResetFrom netip.AddrPort
}

// received is a packet with the address of its sender.
type received struct {
	*Packet
	from netip.AddrPort
}

// Outcome is the outcome of an attempt.
type Outcome int

// Outcomes.
const (
	Answered Outcome = iota
	NotOpened
	ResetBySystem
	ResetByServer
	Unanswered
)

// String returns the outcome in words.
func (o Outcome) String() string {
	return [...]string{"answered", "not opened", "reset by the system", "reset by a server", "unanswered"}[o]
}

// NewClient starts a client.
func (s *Stage) NewClient() (*Client, error) {
	s.clients++
	ip := netip.MustParseAddr(s.IP(9, s.clients))
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, dataPort)))
	if err != nil {
		return nil, err
	}
	c := &Client{stage: s, ip: ip, conn: conn, port: 1024 + uint16(rand.IntN(1000)), flows: map[uint16]*Flow{}}
	s.wg.Add(1)
	go c.listen()
	go func() {
		<-s.ctx.Done()
		_ = conn.Close()
	}()
	return c, nil
}

func (c *Client) listen() {
	defer c.stage.wg.Done()
	buffer := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, intact := ParsePacket(buffer[:n])
		if p == nil || !intact && !(p.Sum == 0 && p.Has(FlagRST) && len(p.Data) == 0) {
			c.stage.Record.Broken("MIXED", "client %s got a packet that its sender didn't write so", c.ip)
			continue
		}
		c.mu.Lock()
		f := c.flows[p.Dst.Port()]
		c.mu.Unlock()
		if f == nil || f.dst != p.Src {
			continue
		}
		select {
		case f.in <- received{p, from}:
		default:
		}
	}
}

func (f *Flow) hash() uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s>%s", f.src, f.dst)
	return h.Sum64()
}

func (f *Flow) send(flags byte, ack uint32, data []byte) {
	p := &Packet{Src: f.src, Dst: f.dst, Flags: flags, Seq: f.seq, Ack: ack, Echo: f.echo, Data: data}
	if flags&FlagSYN != 0 {
		p.Seq, p.Echo = f.isn, 0
	}
	relay := f.client.stage.relayFor(f.hash())
	_, _ = f.client.conn.WriteToUDPAddrPort(p.Encode(), netip.MustParseAddrPort(fmt.Sprintf("%s:%d", relay.IP, dataPort)))
}

// Open opens a flow to a route.
func (c *Client) Open(route netip.AddrPort) (*Flow, Outcome) {
	c.mu.Lock()
	c.port++
	f := &Flow{client: c, src: netip.AddrPortFrom(c.ip, c.port), dst: route, isn: rand.Uint32(), in: make(chan received, 64)}
	c.flows[c.port] = f
	c.mu.Unlock()
	start := time.Now()
	for i, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		for wait := at - time.Since(start); ; wait = at - time.Since(start) {
			p := f.receive(wait)
			if p.Packet == nil {
				break
			}
			if p.Has(FlagRST) {
				f.Close()
				return nil, resetOutcome(p.Packet)
			}
			if p.Has(FlagSYN) && p.Has(FlagACK) && p.Ack == f.isn+1 {
				f.seq, f.ack, f.echo = f.isn+1, p.Seq+1, p.Echo
				return f, Answered
			}
		}
		if i < 3 {
			f.send(FlagSYN, uint32(i), nil)
		}
	}
	f.Close()
	return nil, NotOpened
}

func resetOutcome(p *Packet) Outcome {
	if p.Sum == 0 {
		return ResetBySystem
	}
	return ResetByServer
}

// receive returns the next packet, or nil after a time.
func (f *Flow) receive(wait time.Duration) received {
	if wait <= 0 {
		select {
		case p := <-f.in:
			return p
		default:
			return received{}
		}
	}
	select {
	case p := <-f.in:
		return p
	case <-time.After(wait):
		return received{}
	}
}

// Request sends a request and waits for its answer until a deadline.
func (f *Flow) Request(id string, deadline time.Duration) Outcome {
	data := []byte(fmt.Sprintf("GET /r HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\n\r\n", id))
	end, interval := time.Now().Add(deadline), 200*time.Millisecond
	acked := f.ack
	for time.Now().Before(end) {
		f.send(FlagACK, f.ack, data)
		for again := time.Now().Add(interval); time.Now().Before(again) && time.Now().Before(end); {
			p := f.receive(min(time.Until(again), time.Until(end)))
			switch {
			case p.Packet == nil:
			case p.Has(FlagRST):
				if p.Sum == 0 && int32(p.Seq-acked) > 76800 || p.Sum == 0 && int32(p.Seq-acked) < -76800 {
					continue
				}
				f.Close()
				f.ResetFrom = p.from
				return resetOutcome(p.Packet)
			default:
				f.echo = p.Echo
				if len(p.Data) > 0 && p.Seq == f.ack {
					f.ack += uint32(len(p.Data))
					f.seq += uint32(len(data))
					f.Server = header(p.Data, "X-Instance-Id")
					if got := header(p.Data, "X-Request-Id"); got != id {
						f.client.stage.Record.Broken("MIXED", "request %s got the answer of %s", id, got)
					}
					f.send(FlagACK, f.ack, nil)
					return Answered
				}
			}
		}
		interval = min(2*interval, 1600*time.Millisecond)
	}
	return Unanswered
}

func header(data []byte, name string) string {
	_, rest, _ := strings.Cut(string(data), name+": ")
	value, _, _ := strings.Cut(rest, "\r\n")
	return value
}

// Src returns the client's end of the flow.
func (f *Flow) Src() netip.AddrPort { return f.src }

// Pause takes packets for a time. The echo of the flow is the last one received.
func (f *Flow) Pause(wait time.Duration) {
	for end := time.Now().Add(wait); time.Now().Before(end); {
		if p := f.receive(time.Until(end)); p.Packet != nil && !p.Has(FlagRST) {
			f.echo = p.Echo
		}
	}
}

// Finish closes the flow in an orderly way.
func (f *Flow) Finish() {
	f.send(FlagACK|FlagFIN, f.ack, nil)
	f.receive(300 * time.Millisecond)
	f.Close()
}

// Close forgets the flow.
func (f *Flow) Close() {
	f.client.mu.Lock()
	delete(f.client.flows, f.src.Port())
	f.client.mu.Unlock()
}

// Load sends requests to a route, each on a flow of its own, at a rate until stop is closed.
// It returns the counts of their outcomes.
func (s *Stage) Load(route netip.AddrPort, perSecond int, stop <-chan struct{}) (func() map[Outcome]int, error) {
	c, err := s.NewClient()
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	counts := map[Outcome]int{}
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-s.ctx.Done():
				return
			case <-time.After(time.Second / time.Duration(perSecond)):
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				id := fmt.Sprintf("%s-%d", c.ip, n)
				f, outcome := c.Open(route)
				if outcome == Answered {
					if outcome = f.Request(id, 3*time.Second); outcome == Answered {
						f.Finish()
					}
				}
				mu.Lock()
				counts[outcome]++
				mu.Unlock()
				if outcome != Answered {
					s.Record.Log("request %s to %s: %s", id, route, outcome)
				}
			}()
		}
	}()
	return func() map[Outcome]int {
		wg.Wait()
		mu.Lock()
		defer mu.Unlock()
		return counts
	}, nil
}
