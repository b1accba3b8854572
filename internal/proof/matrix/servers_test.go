package matrix_test

import (
	"fmt"
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/entry/core"
	"monsooncleat.example/monsooncleat/internal/serve/roster"
	"monsooncleat.example/monsooncleat/internal/wire/envel"
	"monsooncleat.example/monsooncleat/internal/wire/geneve"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

// server simulates a backend server.
type server struct {
	cluster   *cluster
	name      string
	service   string
	addr      netip.AddrPort
	startedAt clock.Millis
	alive     bool
	// silent servers run requests, but send no heartbeats and do not answer the
	// requests that they ran.
	silent bool
	// shedding servers refuse all requests.
	shedding bool
	draining bool
	// drainingSince is when the server began to drain.
	drainingSince clock.Millis
	slots         int
	// serviceTime is how long a request runs.
	serviceTime     clock.Millis
	inFlight        int
	maxInFlight     int
	served          int
	flows           map[inner.Key]bool
	flowsOpened     int
	unknownSegments int
	// attempts holds the attempts that have started or were cancelled before they
	// arrived.
	attempts map[uint64]bool
	answers  map[uint64]*envel.Answer
	runs     map[string]int
	// announceTo is the index of the host that takes the announcements.
	announceTo int
}

// startServer starts server number i.
func (cl *cluster) startServer(i int, service string, slots int) *server {
	name := fmt.Sprintf("s%d", i+1)
	s := &server{
		cluster: cl, name: name, service: service, startedAt: cl.now + 1, alive: true, slots: slots, serviceTime: 10,
		announceTo: cl.rand.IntN(max(1, len(cl.hosts))),
		addr:       netip.MustParseAddrPort(fmt.Sprintf("127.0.30.%d:9", i+1)),
		flows:      map[inner.Key]bool{}, attempts: map[uint64]bool{}, answers: map[uint64]*envel.Answer{}, runs: map[string]int{},
	}
	cl.servers[name] = s
	cl.nameByAddr[s.addr.String()] = name
	cl.queue.Add(cl.now, s.heartbeat)
	return s
}

// heartbeat announces the server periodically until it dies or restarts.
func (s *server) heartbeat() {
	if !s.alive || s.cluster.servers[s.name] != s {
		return
	}
	s.cluster.queue.Add(s.cluster.now+roster.HeartbeatInterval, s.heartbeat)
	if s.silent {
		return
	}
	s.announce(false)
}

// announce sends an announcement to the host that took the last one, or to the
// next if that one fails, as real servers do.
func (s *server) announce(leaving bool) {
	a := &roster.Announcement{
		Name: s.name, Service: s.service, Address: s.addr.String(), Start: s.startedAt, Weight: 1,
		Slots: uint32(s.slots), Connections: 10_000, Draining: s.draining, Leaving: leaving,
	}
	names := s.cluster.hostNames()
	for range names {
		name := names[s.announceTo%len(names)]
		h := s.cluster.hosts[name]
		if h.alive && !h.frozen && !s.cluster.cutLinks[link{s.name, name}] {
			s.cluster.dispatch(h, func(c *core.Core) { c.HandleAnnouncement(s.cluster.now, a) })
			if h.core.AcceptsAnnouncements() {
				return
			}
		}
		s.announceTo++
	}
}

func (s *server) drain() {
	s.draining, s.drainingSince = true, s.cluster.now
	s.announce(false)
}

func (s *server) receive(from netip.AddrPort, data []byte) {
	var dec geneve.Decoder
	var parser inner.Parser
	var d geneve.Datagram
	var p inner.Packet
	if !s.alive || dec.Decode(data, &d) != nil || parser.Parse(d.Inner, &p) != nil {
		return
	}
	if expected := s.cluster.clients.expectedService(p.Key); expected != "" && expected != s.service {
		s.cluster.recordViolation("packet for service %s reached server %s of service %s", expected, s.name, s.service)
	}
	if p.Key.Proto() == inner.TCP {
		s.receiveSegment(from, &p)
		return
	}
	if req, err := envel.DecodeRequest(p.Payload); err == nil {
		s.receiveRequest(req, p.Key.Src())
	}
}

// drainGrace is how long a draining server may still get new flows and requests.
const drainGrace = 3 * clock.Second

func (s *server) receiveSegment(from netip.AddrPort, p *inner.Packet) {
	known := s.flows[p.Key]
	switch {
	case p.Opens():
		if !known && s.draining && s.cluster.now-s.drainingSince > drainGrace {
			s.cluster.recordViolation("%s got a new flow %d ms after it began to drain", s.name, s.cluster.now-s.drainingSince)
		}
		if !known {
			s.flowsOpened++
		}
		s.flows[p.Key] = true
		s.cluster.clients.flowOpened(p.Key, s)
	case p.Flags&inner.RST != 0:
		delete(s.flows, p.Key)
		s.cluster.clients.flowReset(p.Key)
	case !known:
		s.unknownSegments++
		s.cluster.clients.segmentMisrouted(p.Key, s, from)
	case p.Flags&inner.FIN != 0:
		delete(s.flows, p.Key)
	default:
		s.cluster.clients.segmentReceived(p.Key)
	}
}

// receiveRequest runs or refuses a new attempt. A cancel gets the answer of an
// attempt that has run, and refuses one that the server has not seen.
func (s *server) receiveRequest(req *envel.Request, replyTo netip.AddrPort) {
	a := &envel.Answer{ID: req.ID, Try: req.Try, Attempt: req.Attempt, Outcome: envel.NotRun}
	known := s.attempts[req.Attempt]
	if !req.Cancel && !known && s.draining && s.cluster.now-s.drainingSince > drainGrace {
		s.cluster.recordViolation("%s got a new request %d ms after it began to drain", s.name, s.cluster.now-s.drainingSince)
	}
	switch {
	case req.Cancel && s.answers[req.Attempt] != nil:
		s.reply(s.answers[req.Attempt], replyTo)
	case req.Cancel && known, known:
	case req.Cancel:
		s.attempts[req.Attempt] = true
		s.reply(a, replyTo)
	case s.inFlight >= s.slots || s.draining || s.shedding:
		if s.inFlight >= s.slots {
			s.cluster.clients.slotOverruns++
		}
		s.reply(a, replyTo)
	default:
		s.run(req, a, replyTo)
	}
}

// run runs a request for serviceTime and then sends the answer.
func (s *server) run(req *envel.Request, a *envel.Answer, replyTo netip.AddrPort) {
	s.attempts[req.Attempt] = true
	s.inFlight++
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
	s.cluster.clients.requestRan(req, s)
	s.cluster.queue.Add(s.cluster.now+s.serviceTime, func() {
		s.inFlight--
		s.served++
		a.Outcome, a.Body, a.Server = envel.Answered, []byte("answer to "+req.ID), s.name
		s.answers[req.Attempt] = a
		if !s.silent {
			s.reply(a, replyTo)
		}
	})
}

func (s *server) reply(a *envel.Answer, to netip.AddrPort) {
	if !s.alive {
		return
	}
	data := envel.EncodeAnswer(a)
	s.cluster.transmit(s.name, to.String(), func(name string) {
		s.cluster.receiveDatagram(s.addr, to, name, data)
	})
}

// die stops the server abruptly. Its flows may break.
func (s *server) die() {
	s.alive = false
	for key := range s.flows {
		s.cluster.clients.serverFailed(key)
	}
}
