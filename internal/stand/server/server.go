// Package server is a stand-in for a backend server: it announces itself,
// answers requests and holds streams, and misbehaves as its options say.
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

// Options say what a stand-in server is and how it misbehaves.
type Options struct {
	Name     string
	Service  string
	Listen   string
	Announce []string
	// Health is the address of the health and load endpoints, or "".
	Health string
	// Journal is the file to which each run of a request is appended, or "".
	Journal     string
	ReturnPort  uint16
	Weight      uint32
	Slots       uint32
	Connections uint32
	// Work is the mean time that a request takes.
	Work time.Duration
	// Cold multiplies Work in the first ten seconds.
	Cold float64
	// Shed and Mute are the shares of requests refused and left unanswered.
	Shed float64
	Mute float64
	// Lag delays what the load endpoint tells; Lie makes it tell nonsense.
	Lag time.Duration
	Lie bool
	// Drain is the longest that the server waits for its streams at its end.
	Drain time.Duration
	Seed  uint64
}

// answerFill is the length of the filler of each answer in bytes.
const answerFill = 600

// AnswerBody returns the one right answer to a request, so that a caller can
// check that it got the whole answer to its own request.
func AnswerBody(id string, body []byte) []byte {
	sum := sha256.Sum256(append([]byte(id+"\n"), body...))
	return append(sum[:], bytes.Repeat(sum[:], answerFill/len(sum))...)
}

// attempt is what the server remembers of one attempt.
type attempt struct {
	request *envel.Request
	reply   netip.AddrPort
	begun   bool
	done    bool
	timer   *time.Timer
}

// stream is one open flow.
type stream struct {
	next uint32
	sent uint32
}

// Server is a running stand-in.
type Server struct {
	opts     Options
	end      *tunnel.Endpoint
	start    time.Time
	mu       sync.Mutex
	rand     *rand.Rand
	attempts map[uint64]*attempt
	running  int
	served   int
	streams  map[inner.Key]*stream
	draining bool
	journal  io.WriteCloser
	at       int
}

// New opens the server's address and journal.
func New(opts Options) (*Server, error) {
	end, err := tunnel.Open(opts.Listen)
	if err != nil {
		return nil, err
	}
	s := &Server{
		opts: opts, end: end, start: time.Now(), rand: rand.New(rand.NewPCG(opts.Seed, 1)),
		attempts: map[uint64]*attempt{}, streams: map[inner.Key]*stream{},
	}
	if opts.Journal != "" {
		if s.journal, err = os.OpenFile(opts.Journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Run serves until ctx is done, then drains and says goodbye.
func (s *Server) Run(ctx context.Context) error {
	go s.end.Serve(s.handle)
	defer s.end.Close()
	if s.opts.Health != "" {
		stop := s.serveHealth()
		defer stop()
	}
	beat := time.NewTicker(roster.Beat.Duration())
	defer beat.Stop()
	s.announce(false)
	for {
		select {
		case <-beat.C:
			s.announce(false)
		case <-ctx.Done():
			s.drain(beat.C)
			return nil
		}
	}
}

// drain waits until the work in progress is done, and then announces the end.
func (s *Server) drain(beat <-chan time.Time) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.announce(false)
	end := time.After(s.opts.Drain)
	for s.busy() {
		select {
		case <-beat:
			s.announce(false)
		case <-end:
			s.announce(true)
			return
		}
	}
	s.announce(true)
}

func (s *Server) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running > 0 || len(s.streams) > 0
}

// announce tells one entry host how things stand, the next one when it fails.
func (s *Server) announce(leaving bool) {
	s.mu.Lock()
	a := roster.Announcement{
		Name: s.opts.Name, Service: s.opts.Service, Address: s.opts.Listen,
		Start: clock.Millis(s.start.UnixMilli()), Weight: s.opts.Weight, Slots: s.opts.Slots,
		Connections: s.opts.Connections, Draining: s.draining, Leaving: leaving,
	}
	s.mu.Unlock()
	b, err := json.Marshal(&a)
	if err != nil {
		return
	}
	client := http.Client{Timeout: 500 * time.Millisecond}
	for range s.opts.Announce {
		url := "http://" + s.opts.Announce[s.at%len(s.opts.Announce)] + "/v1/announce"
		resp, err := client.Post(url, "application/json", bytes.NewReader(b))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		s.at++
	}
}

func (s *Server) handle(p *inner.Packet) {
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

func (s *Server) onRequest(req *envel.Request, reply netip.AddrPort) {
	if s.attempts[req.Attempt] != nil {
		return
	}
	a := &attempt{request: req, reply: reply}
	if s.running >= int(s.opts.Slots) || s.draining || s.rand.Float64() < s.opts.Shed {
		s.reply(a, envel.NotRun, nil)
		return
	}
	s.attempts[req.Attempt] = a
	s.running++
	a.begun = true
	s.record(req)
	a.timer = time.AfterFunc(s.workTime(), func() { s.finish(a) })
}

func (s *Server) workTime() time.Duration {
	d := float64(s.opts.Work) * (0.5 + s.rand.Float64())
	if s.opts.Cold > 1 && time.Since(s.start) < roster.SlowStart.Duration() {
		d *= s.opts.Cold
	}
	return time.Duration(d)
}

// record notes a run in the journal before the request takes effect.
func (s *Server) record(req *envel.Request) {
	if s.journal != nil {
		fmt.Fprintf(s.journal, "%s %d %t\n", req.ID, req.Try, req.Idempotent)
	}
}

func (s *Server) finish(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.served++
	a.done = true
	if s.rand.Float64() >= s.opts.Mute {
		s.reply(a, envel.Answered, AnswerBody(a.request.ID, a.request.Body))
	}
}

// onCancel says how an attempt ended. One that never came is noted, so that it
// will not be run if it comes late.
func (s *Server) onCancel(req *envel.Request, reply netip.AddrPort) {
	a := s.attempts[req.Attempt]
	switch {
	case a == nil:
		a = &attempt{request: req, reply: reply}
		s.attempts[req.Attempt] = a
		s.reply(a, envel.NotRun, nil)
	case a.done:
		a.reply = reply
		s.reply(a, envel.Answered, AnswerBody(a.request.ID, a.request.Body))
	case !a.begun:
		a.reply = reply
		s.reply(a, envel.NotRun, nil)
	default:
		a.reply = reply
	}
}

func (s *Server) reply(a *attempt, o envel.Outcome, body []byte) {
	answer := envel.Answer{
		ID: a.request.ID, Try: a.request.Try, Attempt: a.request.Attempt,
		Outcome: o, InFlight: uint32(s.running), Server: s.opts.Name, Body: body,
	}
	s.end.SendPlain(a.reply, envel.EncodeAnswer(&answer))
}

// onSegment plays the server's end of a TCP connection.
func (s *Server) onSegment(p *inner.Packet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[p.Key]
	switch {
	case p.Flags&inner.RST != 0:
		delete(s.streams, p.Key)
	case p.Opens():
		if st == nil || st.next != p.Seq+1 {
			st = &stream{next: p.Seq + 1, sent: 1}
			s.streams[p.Key] = st
		}
		s.toCaller(p, inner.Segment{Flags: inner.SYN | inner.ACK, Seq: 0, Ack: st.next})
	case st == nil:
		s.toCaller(p, inner.Segment{Flags: inner.RST, Seq: p.Ack})
	case p.Flags&inner.FIN != 0:
		delete(s.streams, p.Key)
		s.toCaller(p, inner.Segment{Flags: inner.FIN | inner.ACK, Seq: st.sent, Ack: p.Seq + 1})
	default:
		s.onData(st, p)
	}
}

// onData echoes a segment, with the server's name before it.
func (s *Server) onData(st *stream, p *inner.Packet) {
	if len(p.Payload) == 0 {
		return
	}
	if p.Seq == st.next {
		st.next += uint32(len(p.Payload))
	}
	echo := append([]byte(s.opts.Name+"\n"), p.Payload...)
	s.toCaller(p, inner.Segment{Flags: inner.ACK, Seq: st.sent, Ack: st.next, Payload: echo})
}

// toCaller answers directly, past the entry hosts.
func (s *Server) toCaller(p *inner.Packet, seg inner.Segment) {
	packet := inner.BuildTCP(p.Key.Dst(), p.Key.Src(), seg)
	s.end.Send(netip.AddrPortFrom(p.Key.Src().Addr(), s.opts.ReturnPort), packet)
}

// load is what the health endpoint tells.
type load struct {
	Running  int  `json:"running"`
	Served   int  `json:"served"`
	Streams  int  `json:"streams"`
	Draining bool `json:"draining"`
}

func (s *Server) load() load {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.Lie {
		return load{}
	}
	return load{s.running, s.served, len(s.streams), s.draining}
}

// serveHealth serves the health and load endpoints, which may lag and lie.
func (s *Server) serveHealth() (stop func()) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		l := s.load()
		time.Sleep(s.opts.Lag)
		_ = json.NewEncoder(w).Encode(l)
	})
	server := &http.Server{Addr: s.opts.Health, Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.ListenAndServe() }()
	return func() { _ = server.Close() }
}
