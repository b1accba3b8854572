package soak_test

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"time"
)

// The header of a packet, as package platform reads it. The stand-ins encode it with
// code of their own, so that the tests don't depend on that package.
const (
	headerSize = 32
	flagReset  = 1
	flagSyn    = 2
	flagFin    = 8
	flagAck    = 128
)

// serverSum is the checksum of the packets that servers send.
const serverSum = 1

// packet is a packet between a client and a server. The echo field of the header
// carries the token of the flow, which the client returns in each packet.
type packet struct {
	// sum is the checksum, which the stand-ins don't calculate: it is serverSum in the
	// packets of servers, and 0 in those of relays.
	sum             uint32
	seq, ack, token uint32
	src, dst        [4]byte
	sport, dport    uint16
	flags           byte
	data            []byte
}

func (pkt *packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(pkt.data))
	binary.BigEndian.PutUint32(b, pkt.sum)
	binary.BigEndian.PutUint32(b[4:], pkt.seq)
	binary.BigEndian.PutUint32(b[8:], pkt.ack)
	binary.BigEndian.PutUint16(b[12:], uint16(len(pkt.data)))
	copy(b[14:], pkt.dst[:])
	copy(b[18:], pkt.src[:])
	binary.BigEndian.PutUint16(b[22:], pkt.sport)
	binary.BigEndian.PutUint16(b[24:], pkt.dport)
	b[26] = pkt.flags
	binary.BigEndian.PutUint32(b[28:], pkt.token)
	return append(b, pkt.data...)
}

func parsePacket(b []byte) (pkt packet, ok bool) {
	if len(b) < headerSize {
		return pkt, false
	}
	pkt = packet{
		sum: binary.BigEndian.Uint32(b),
		seq: binary.BigEndian.Uint32(b[4:]), ack: binary.BigEndian.Uint32(b[8:]), token: binary.BigEndian.Uint32(b[28:]),
		sport: binary.BigEndian.Uint16(b[22:]), dport: binary.BigEndian.Uint16(b[24:]), flags: b[26], data: b[headerSize:],
	}
	copy(pkt.dst[:], b[14:])
	copy(pkt.src[:], b[18:])
	return pkt, true
}

// reply returns a packet in the opposite direction, with the same token.
func (pkt *packet) reply(flags byte, seq, ack uint32, data []byte) *packet {
	return &packet{
		seq: seq, ack: ack, token: pkt.token, src: pkt.dst, dst: pkt.src, sport: pkt.dport, dport: pkt.sport, flags: flags, data: data,
	}
}

// key identifies a flow by its addresses and ports.
func (pkt *packet) key() string {
	return fmt.Sprintf("%v:%d>%v:%d", pkt.src, pkt.sport, pkt.dst, pkt.dport)
}

// server is a stand-in for a backend server.
type server struct {
	env *testEnv
	id  string
	// number is the hexadecimal part of id. It precedes each packet that a relay
	// forwards.
	number  uint64
	service string
	// born is the time of day of the start in Unix milliseconds, by the clock of the server,
	// or 0 if the server doesn't announce it.
	born    int64
	address string
	zone    string
	conn    *net.UDPConn
	// warmAt is the end of the time for which the server announces that it is cold.
	warmAt time.Time

	mu sync.Mutex
	// seq is the sequence number of the last announcement.
	seq      int
	draining bool
	// flows maps the key of each open flow to its initial sequence number.
	flows map[string]uint32
	// drainAckedAt is when a control host acknowledged the drain.
	drainAckedAt time.Time
	// leavingSince is when the server first requested its removal, or zero.
	leavingSince time.Time
	closed       bool
	// muted is set while the server doesn't announce itself.
	muted bool
	// claimed is set while a fault or a replacement acts on the server. It is guarded by
	// testEnv.mu.
	claimed bool
	// coldOpenings are the times of the flows opened while cold, the last second only.
	coldOpenings []time.Time
	// uploads maps the key of a flow and the address of a relay to the number of the last
	// packet received.
	uploads map[string]uint32
	// handshakeTime is how long the server takes to answer an opening packet.
	handshakeTime time.Duration
	// slowUntil is the end of the time for which the server is slow.
	slowUntil time.Time
	// slots are the ends of the work on the requests that a server runs at a time, in a run
	// with an overload.
	slots [slotCount]time.Time
	// dueAt maps the key of a request to the time at which it is answered.
	dueAt map[string]time.Time
}

func (s *server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leavingSince.IsZero()
}

// serve handles packets until the socket is closed.
func (s *server) serve() {
	buf := make([]byte, 2048)
	for {
		n, from, err := s.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if n < 8 || binary.BigEndian.Uint64(buf) != s.number {
			// The packet is meant for the previous server at this address.
			if pkt, ok := parsePacket(buf[min(8, n):n]); ok {
				s.env.recordMisdirected(&pkt)
			}
			continue
		}
		if pkt, ok := parsePacket(append([]byte(nil), buf[8:n]...)); ok {
			s.handle(&pkt, from.IP.String())
		}
	}
}

// handle replies to a packet from a relay and updates the flow that it belongs to.
func (s *server) handle(pkt *packet, relay string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isn, open := s.flows[pkt.key()]
	if open && pkt.flags&flagSyn == 0 && sameFlow(pkt.ack, isn) {
		s.env.recordArrival(pkt)
	} else if pkt.flags&flagSyn == 0 {
		s.env.recordMisdirected(pkt)
	}
	switch {
	case pkt.flags&flagSyn != 0:
		if !open {
			isn = s.env.randUint32()
			s.flows[pkt.key()] = isn
			s.env.verifyNewFlow(s, pkt, relay)
		}
		answer := pkt.reply(flagSyn|flagAck, isn, pkt.seq+1, nil)
		if s.handshakeTime > 0 {
			time.AfterFunc(s.handshakeTime, func() { s.send(answer) })
			return
		}
		s.send(answer)
	case !open:
		s.send(pkt.reply(flagReset, pkt.ack, 0, nil))
	case pkt.flags&flagFin != 0:
		delete(s.flows, pkt.key())
	case pkt.dport == portUpload && len(pkt.data) > 0:
		s.handleUpload(pkt, relay)
	case len(pkt.data) > 0:
		s.handleRequest(pkt)
	}
}

func (s *server) send(pkt *packet) {
	pkt.sum = serverSum
	to := &net.UDPAddr{IP: pkt.dst[:], Port: s.env.dataPort}
	_, _ = s.conn.WriteToUDP(pkt.encode(), to)
}

// client is a stand-in for a client with one address.
type client struct {
	env  *testEnv
	ip   [4]byte
	conn *net.UDPConn
	mu   sync.Mutex
	// inbound maps a local port to the packets received for its flow.
	inbound  map[uint16]chan packet
	lastPort uint16
	// latestTokens maps a local port to the token of the latest packet received for its
	// flow, whoever sent it. It is nil for a client that takes tokens only from the packets
	// that it waits for.
	latestTokens map[uint16]uint32
}

// listen passes packets to their flows until the socket is closed. Packets of
// unknown flows, or beyond the capacity of a queue, are dropped.
func (c *client) listen() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		pkt, ok := parsePacket(append([]byte(nil), buf[:n]...))
		if !ok {
			continue
		}
		c.mu.Lock()
		queue := c.inbound[pkt.dport]
		if c.latestTokens != nil {
			c.latestTokens[pkt.dport] = pkt.token
		}
		c.mu.Unlock()
		select {
		case queue <- pkt:
		default:
		}
	}
}

// flow is the client's endpoint of a flow.
type flow struct {
	client   *client
	port     uint16
	dstPort  uint16
	in       chan packet
	seq, ack uint32
	token    uint32
	// relay is the address to which all packets go, or "" for the choice of the routers.
	relay string
	// resetBy names the sender of the reset that ended the flow.
	resetBy string
	// copies tells where the copies of the latest request went, and when it was acknowledged.
	copies []string
}

const (
	// retransmitDelay is the delay before the first retransmission of a request.
	// Opening packets are retransmitted after twice this delay.
	retransmitDelay = 200 * time.Millisecond
	// requestTimeout bounds a request with all its retransmissions, but for the time that its
	// server takes for it.
	requestTimeout = 3 * time.Second
)

// open opens a flow with a handshake. It returns nil if the flow is reset or none of
// three opening packets is answered.
func (c *client) open(dstPort uint16) *flow { return c.openThrough("", dstPort) }

// openThrough opens a flow whose packets all go to one relay, unless relay is "".
func (c *client) openThrough(relay string, dstPort uint16) *flow {
	c.mu.Lock()
	c.lastPort++
	f := &flow{client: c, port: 10000 + c.lastPort, dstPort: dstPort, in: make(chan packet, 16), seq: c.env.randUint32(), relay: relay}
	c.inbound[f.port] = f.in
	c.mu.Unlock()
	for attempt := range uint32(3) {
		// The acknowledgement number of an opening packet is the number of
		// transmissions before it.
		f.send(flagSyn, attempt, nil)
		for deadline := time.After(2 * retransmitDelay); ; {
			select {
			case pkt := <-f.in:
				if pkt.flags&flagReset != 0 {
					if attempt == 0 {
						c.env.recordRefused(f)
					}
					f.close()
					return nil
				}
				if pkt.flags&flagSyn != 0 {
					f.token, f.ack = pkt.token, pkt.seq+1
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

// packet returns a packet from the client to the server of the flow.
func (f *flow) packet(flags byte, ack uint32, data []byte) *packet {
	token := f.token
	if flags&flagSyn == 0 {
		f.client.mu.Lock()
		if latest, ok := f.client.latestTokens[f.port]; ok {
			token = latest
		}
		f.client.mu.Unlock()
	}
	return &packet{
		seq: f.seq, ack: ack, token: token, src: f.client.ip, sport: f.port, dst: [4]byte{198, 18, 0, 1}, dport: f.dstPort,
		flags: flags, data: data,
	}
}

func (f *flow) key() string { return f.packet(0, 0, nil).key() }

func (f *flow) send(flags byte, ack uint32, data []byte) string {
	return f.sendPacket(f.packet(flags, ack, data))
}

// sendPacket sends a packet through the relay of the flow, whose address it returns.
func (f *flow) sendPacket(pkt *packet) string {
	if f.relay == "" {
		return f.client.env.sendToRelay(f.client, pkt)
	}
	f.client.sendTo(f.relay, pkt)
	return f.relay
}

// requestOutcome is how a request ended for its client.
type requestOutcome uint8

const (
	answered requestOutcome = iota
	timedOut
	wasReset
	// rejected means that the server had no room for the request, which has not run.
	rejected
)

// request sends a request with an ID and retransmits it with exponential backoff,
// until it is acknowledged. It waits until the request is answered, the flow is reset or
// requestTimeout has passed.
func (f *flow) request(id uint64) requestOutcome {
	data := binary.BigEndian.AppendUint64(nil, id)
	wait, acknowledged := retransmitDelay, false
	f.copies = nil
	for end := time.Now().Add(requestTimeout); time.Now().Before(end) || f.isWorkedOn(); wait = min(2*wait, maxRetransmitDelay) {
		if !acknowledged {
			f.noteCopy("to relay " + cmp.Or(f.send(flagAck, f.ack, data), "none"))
		}
		for deadline := time.After(wait); ; {
			select {
			case pkt := <-f.in:
				f.token = pkt.token
				if pkt.flags&flagReset != 0 {
					f.resetBy = senderOf(&pkt)
					return wasReset
				}
				if len(pkt.data) == len(rejection) && bytes.Equal(pkt.data, rejection) {
					return rejected
				}
				if len(pkt.data) == 8 && binary.BigEndian.Uint64(pkt.data) == id {
					f.seq += 8
					f.ack += 8
					f.send(flagAck, f.ack, nil)
					return answered
				}
				if pkt.flags&flagSyn == 0 && len(pkt.data) == 0 && pkt.ack == f.seq+uint32(len(data)) {
					acknowledged = true
					f.noteCopy("acknowledged")
				}
				continue
			case <-deadline:
			}
			break
		}
	}
	return timedOut
}

// noteCopy notes what happened to the latest request, with the time of day.
func (f *flow) noteCopy(what string) {
	f.copies = append(f.copies, time.Now().Format(timeOfDay)+what)
}

// close drops the flow without notifying the server.
func (f *flow) close() {
	f.client.mu.Lock()
	delete(f.client.inbound, f.port)
	delete(f.client.latestTokens, f.port)
	f.client.mu.Unlock()
}

// finish closes the flow with a FIN packet.
func (f *flow) finish() {
	f.send(flagFin|flagAck, f.ack, nil)
	f.close()
}
