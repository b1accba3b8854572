// Package server implements a stand-in for a backend server. It announces
// itself to the entry hosts, answers requests, accepts TCP streams and injects
// the faults set in its options.
package server

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/roster"
	"monsooncleat.example/monsooncleat/internal/stand/tunnel"
	"monsooncleat.example/monsooncleat/internal/wire/envel"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

// Options configure a stand-in server and the faults that it injects.
type Options struct {
	Name    string
	Service string
	// ListenAddr is the loopback address for tunneled packets.
	ListenAddr string
	// AnnounceAddrs lists the addresses of the entry hosts' announce listeners.
	AnnounceAddrs []string
	// HealthAddr is the address of the health and load endpoints. They are not
	// served if it is empty.
	HealthAddr string
	// JournalPath is the file to which each run of a request is appended. Nothing
	// is written if it is empty.
	JournalPath string
	// ReturnPort is the port at which clients receive the packets of direct server
	// return.
	ReturnPort uint16
	// Weight, Slots and Connections are announced to the entry hosts. Slots is also
	// the number of requests that run at once.
	Weight      uint32
	Slots       uint32
	Connections uint32
	// MeanServiceTime is the mean service time of a request.
	MeanServiceTime time.Duration
	// ColdStartFactor multiplies the service time during roster.SlowStartWindow
	// after the start. Only values above 1 take effect.
	ColdStartFactor float64
	// RefuseRate is the share of requests that are refused.
	RefuseRate float64
	// NoAnswerRate is the share of requests that run but get no answer.
	NoAnswerRate float64
	// LoadDelay is the delay of each reply of the load endpoint.
	LoadDelay time.Duration
	// FalseLoad makes the load endpoint always report an idle server.
	FalseLoad bool
	// DrainTimeout is the longest time for which the server drains at shutdown.
	DrainTimeout time.Duration
	Seed         uint64
}

// answerPadding is the padding of each answer in bytes, rounded down to whole
// hashes.
const answerPadding = 600

// AnswerBody returns the body of the answer to a request. It depends on the id
// and the body of the request, so that a client can detect a truncated answer
// and the answer to another request.
func AnswerBody(id string, body []byte) []byte {
	sum := sha256.Sum256(append([]byte(id+"\n"), body...))
	return append(sum[:], bytes.Repeat(sum[:], answerPadding/len(sum))...)
}

// attempt is the state of one attempt of a request.
type attempt struct {
	request *envel.Request
	replyTo netip.AddrPort
	// started is false for an attempt that was cancelled before it arrived.
	started bool
	done    bool
	timer   *time.Timer
}

// stream is the state of one open TCP connection.
type stream struct {
	// isn is the client's initial sequence number.
	isn uint32
	// recvNext is the next sequence number expected from the client.
	recvNext uint32
	// sendSeq is the sequence number of all segments after the SYN. It does not
	// advance with the data sent.
	sendSeq uint32
}

// Server is a stand-in for a backend server.
type Server struct {
	opts      Options
	endpoint  *tunnel.Endpoint
	startedAt time.Time
	// mu guards the fields from rand to journal.
	mu       sync.Mutex
	rand     *rand.Rand
	attempts map[uint64]*attempt
	inFlight int
	served   int
	streams  map[inner.Key]*stream
	draining bool
	journal  io.WriteCloser
	// announceIndex, modulo the number of addresses, selects the entry host
	// that gets the next announcement.
	announceIndex int
}

// New binds the server's address and opens its journal.
func New(opts Options) (*Server, error) {
	endpoint, err := tunnel.Open(opts.ListenAddr)
	if err != nil {
		return nil, err
	}
	s := &Server{
		opts: opts, endpoint: endpoint, startedAt: time.Now(), rand: rand.New(rand.NewPCG(opts.Seed, 1)),
		attempts: map[uint64]*attempt{}, streams: map[inner.Key]*stream{},
	}
	if opts.JournalPath != "" {
		if s.journal, err = os.OpenFile(opts.JournalPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Run serves until ctx is done, then drains and announces that the server
// leaves.
func (s *Server) Run(ctx context.Context) error {
	go s.endpoint.Serve(s.handlePacket)
	defer s.endpoint.Close()
	if s.opts.HealthAddr != "" {
		stop := s.serveHealth()
		defer stop()
	}
	heartbeat := time.NewTicker(roster.HeartbeatInterval.Duration())
	defer heartbeat.Stop()
	s.announce(false)
	for {
		select {
		case <-heartbeat.C:
			s.announce(false)
		case <-ctx.Done():
			s.drain(heartbeat.C)
			return nil
		}
	}
}

// minDrain is how long a server drains at least, also without work. In that time all
// entry hosts learn that it drains, and what they still send to it is refused. Without an
// answer, a request that is not idempotent would end as unknown although it has not run.
const minDrain = roster.HeartbeatTimeout

// drain waits for minDrain and until no request is in flight and no stream is open, but
// for at most the drain timeout, and then announces that the server leaves.
func (s *Server) drain(heartbeat <-chan time.Time) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.announce(false)
	timeout := time.After(s.opts.DrainTimeout)
	for began := time.Now(); s.hasWork() || time.Since(began) < minDrain.Duration(); {
		select {
		case <-heartbeat:
			s.announce(false)
		case <-timeout:
			s.announce(true)
			return
		}
	}
	s.announce(true)
}

func (s *Server) hasWork() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight > 0 || len(s.streams) > 0
}

// announce sends the server's state to one entry host. If that fails, it tries
// the others in turn, each once.
func (s *Server) announce(leaving bool) {
	s.mu.Lock()
	a := roster.Announcement{
		Name: s.opts.Name, Service: s.opts.Service, Address: s.opts.ListenAddr,
		Start: clock.Millis(s.startedAt.UnixMilli()), Weight: s.opts.Weight, Slots: s.opts.Slots,
		Connections: s.opts.Connections, Draining: s.draining, Leaving: leaving,
	}
	s.mu.Unlock()
	b, err := json.Marshal(&a)
	if err != nil {
		return
	}
	client := http.Client{Timeout: 500 * time.Millisecond}
	for range s.opts.AnnounceAddrs {
		url := "http://" + s.opts.AnnounceAddrs[s.announceIndex%len(s.opts.AnnounceAddrs)] + "/v1/announce"
		resp, err := client.Post(url, "application/json", bytes.NewReader(b))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		s.announceIndex++
	}
}

func (s *Server) handlePacket(p *inner.Packet) {
	if p.Key.Proto() == inner.TCP {
		s.onSegment(p)
		return
	}
	req, err := envel.DecodeRequest(p.Payload)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.Cancel {
		s.onCancel(req, p.Key.Src())
		return
	}
	s.onRequest(req, p.Key.Src())
}

// onRequest starts an attempt or refuses it: when all slots are taken, while the
// server drains, and at random as configured. It ignores the retransmission of
// an attempt that has started, and an attempt that was cancelled before it
// arrived.
func (s *Server) onRequest(req *envel.Request, replyTo netip.AddrPort) {
	if s.attempts[req.Attempt] != nil {
		return
	}
	a := &attempt{request: req, replyTo: replyTo}
	if s.inFlight >= int(s.opts.Slots) || s.draining || s.rand.Float64() < s.opts.RefuseRate {
		s.reply(a, envel.NotRun, nil)
		return
	}
	s.attempts[req.Attempt] = a
	s.inFlight++
	a.started = true
	s.appendJournal(req)
	a.timer = time.AfterFunc(s.serviceTime(), func() { s.finish(a) })
}

// serviceTime returns a random time between half and one and a half of the mean,
// multiplied by the cold start factor during the slow start.
func (s *Server) serviceTime() time.Duration {
	d := float64(s.opts.MeanServiceTime) * (0.5 + s.rand.Float64())
	if s.opts.ColdStartFactor > 1 && time.Since(s.startedAt) < roster.SlowStartWindow.Duration() {
		d *= s.opts.ColdStartFactor
	}
	return time.Duration(d)
}

// appendJournal records the run of a request, before its work begins.
func (s *Server) appendJournal(req *envel.Request) {
	if s.journal != nil {
		fmt.Fprintf(s.journal, "%s %d %t\n", req.ID, req.Try, req.Idempotent)
	}
}

func (s *Server) finish(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.served++
	a.done = true
	if s.rand.Float64() >= s.opts.NoAnswerRate {
		s.reply(a, envel.Answered, AnswerBody(a.request.ID, a.request.Body))
	}
}

// onCancel replies with the outcome of an attempt; one that is in flight gets
// its reply when it is done. An attempt that has not arrived is recorded, so
// that it does not run if it arrives later.
func (s *Server) onCancel(req *envel.Request, replyTo netip.AddrPort) {
	a := s.attempts[req.Attempt]
	switch {
	case a == nil:
		a = &attempt{request: req, replyTo: replyTo}
		s.attempts[req.Attempt] = a
		s.reply(a, envel.NotRun, nil)
	case a.done:
		a.replyTo = replyTo
		s.reply(a, envel.Answered, AnswerBody(a.request.ID, a.request.Body))
	case !a.started:
		a.replyTo = replyTo
		s.reply(a, envel.NotRun, nil)
	default:
		a.replyTo = replyTo
	}
}

func (s *Server) reply(a *attempt, outcome envel.Outcome, body []byte) {
	answer := envel.Answer{
		ID: a.request.ID, Try: a.request.Try, Attempt: a.request.Attempt,
		Outcome: outcome, InFlight: uint32(s.inFlight), Server: s.opts.Name, Body: body,
	}
	s.endpoint.SendPlain(a.replyTo, envel.EncodeAnswer(&answer))
}

// onSegment implements the server side of a TCP connection, without flow
// control and retransmission.
func (s *Server) onSegment(p *inner.Packet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[p.Key]
	switch {
	case p.Flags&inner.RST != 0:
		delete(s.streams, p.Key)
	case p.Opens():
		if st == nil || st.isn != p.Seq {
			st = &stream{isn: p.Seq, recvNext: p.Seq + 1, sendSeq: 1}
			s.streams[p.Key] = st
		}
		s.sendToClient(p, inner.Segment{Flags: inner.SYN | inner.ACK, Seq: 0, Ack: st.recvNext})
	case st == nil:
		s.sendToClient(p, inner.Segment{Flags: inner.RST, Seq: p.Ack})
	case p.Flags&inner.FIN != 0:
		delete(s.streams, p.Key)
		s.sendToClient(p, inner.Segment{Flags: inner.FIN | inner.ACK, Seq: st.sendSeq, Ack: p.Seq + 1})
	default:
		s.onData(st, p)
	}
}

// onData echoes the payload of a segment after the server's name, by which the
// client detects that its flow was moved to another server.
func (s *Server) onData(st *stream, p *inner.Packet) {
	if len(p.Payload) == 0 {
		return
	}
	if p.Seq == st.recvNext {
		st.recvNext += uint32(len(p.Payload))
	}
	echo := append([]byte(s.opts.Name+"\n"), p.Payload...)
	s.sendToClient(p, inner.Segment{Flags: inner.ACK, Seq: st.sendSeq, Ack: st.recvNext, Payload: echo})
}

// sendToClient sends a segment to the client that sent p by direct server
// return, which bypasses the entry hosts.
func (s *Server) sendToClient(p *inner.Packet, seg inner.Segment) {
	packet := inner.BuildTCP(p.Key.Dst(), p.Key.Src(), seg)
	s.endpoint.Send(netip.AddrPortFrom(p.Key.Src().Addr(), s.opts.ReturnPort), packet)
}

// loadReport is the reply of the load endpoint.
type loadReport struct {
	InFlight int  `json:"running"`
	Served   int  `json:"served"`
	Streams  int  `json:"streams"`
	Draining bool `json:"draining"`
}

func (s *Server) loadReport() loadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.FalseLoad {
		return loadReport{}
	}
	return loadReport{s.inFlight, s.served, len(s.streams), s.draining}
}

// serveHealth serves the health and load endpoints. The replies of the load
// endpoint are delayed or falsified if the options say so.
func (s *Server) serveHealth() (stop func()) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		report := s.loadReport()
		time.Sleep(s.opts.LoadDelay)
		_ = json.NewEncoder(w).Encode(report)
	})
	server := &http.Server{Addr: s.opts.HealthAddr, Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.ListenAndServe() }()
	return func() { _ = server.Close() }
}
