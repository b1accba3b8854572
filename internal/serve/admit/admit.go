// Package admit decides whether a new flow may open on a service. It is designed
// for demand above what the slots of the servers bear: from there on, each further
// flow makes the queues longer until all requests are late.
//
// Requests on open flows cannot be refused, so openings leave room for them. A flow
// that carries many requests is judged by the mean load of the servers that it could
// go to, a flow of one request by the load of the server that would take it. Where
// routes differ in priority, less urgent ones are refused at lower loads.
package admit

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

// Shares of the time that the latency goal of a route leaves for waiting, up to which
// the expected wait of a new flow is accepted. The rest covers the variance of the
// work and what arrives on open flows.
const (
	urgentShare = 0.5
	otherShare  = 0.25
	// longShare bounds the mean load, for a flow of many requests.
	longShare = 0.2
)

const (
	// maxLoad is the number of requests in flight per slot above which no flow is
	// admitted. Servers queue a few requests and reject others after a wait.
	maxLoad = 5.0
	// minUrgentShare is the share of the openings that must be more urgent than a
	// flow for it to count as less urgent. Rare probes of an urgent route don't.
	minUrgentShare = 0.05
	// minUrgentAdmitted is the same as a share of the flows that were opened. Under
	// overload the probes are a larger share of these.
	minUrgentAdmitted = 0.065
	// maxOpenings is the number of openings at which the counts by priority are
	// halved, so that they follow the demand.
	maxOpenings = 256
	// maxAdmissions is the same for the flows that were opened. With fewer, a share near
	// minUrgentAdmitted is often on the wrong side of it.
	maxAdmissions = 1024
)

// Opening describes a new flow.
type Opening struct {
	Kind choose.Kind
	// Goal is the latency goal of the route, or 0 if it has none.
	Goal clock.Millis
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	// Load is the number of requests in flight per slot on the selected server, with
	// this one.
	Load float64
	// MeanLoad is the mean of the same over the servers that were compared, without
	// this one. It is used for long flows only.
	MeanLoad float64
}

// Service estimates the response times of one service. It is not safe for
// concurrent use.
type Service struct {
	// handshakes and responses are the times of handshakes, and of requests on
	// servers with a free slot.
	handshakes, responses minimumMean
	// openings counts the recent openings, admitted the flows that were opened.
	openings, admitted priorities
}

// NewService returns a Service without measurements. It admits all flows until the
// first responses.
func NewService() *Service {
	return &Service{openings: priorities{byPriority: map[int]int{}}, admitted: priorities{byPriority: map[int]int{}}}
}

// RecordHandshake records the time from an opening packet to the client's next one.
func (s *Service) RecordHandshake(t clock.Millis) { s.handshakes.add(t) }

// RecordResponse records the time from a request to the first acknowledgement of its
// response. Load is the number of requests per slot that were in flight on its
// server when it began; a response that had to queue is ignored.
func (s *Service) RecordResponse(t clock.Millis, load float64) {
	if load <= 1 {
		s.responses.add(t)
	}
}

// RecordOpening counts an opening of a flow of the given priority, admitted or not.
func (s *Service) RecordOpening(priority int) { s.openings.add(priority, maxOpenings) }

// RecordAdmission counts a flow of the given priority that was opened.
func (s *Service) RecordAdmission(priority int) { s.admitted.add(priority, maxAdmissions) }

// Admit reports whether a new flow may open.
func (s *Service) Admit(o *Opening) bool {
	_, measured := s.responses.value()
	switch {
	case !measured:
		return true
	case o.Load > maxLoad:
		return false
	case o.Goal == 0:
		return true
	case o.Kind == choose.Long && o.MeanLoad > s.limit(o.Goal, longShare):
		return false
	case s.openings.mostUrgent(o.Priority, minUrgentShare):
		return o.Load <= s.limit(o.Goal, urgentShare)
	default:
		return o.Load <= s.limit(o.Goal, otherShare)
	}
}

// limit returns the load per slot at which the expected wait takes the given share of
// the time that the goal leaves for it.
func (s *Service) limit(goal clock.Millis, share float64) float64 {
	response, _ := s.responses.value()
	handshake, _ := s.handshakes.value()
	work := max(response-handshake, 1)
	slack := max(float64(goal)-response-handshake, 0)
	return 1 + share*slack/work
}

// MostUrgent reports whether hardly any of the recently opened flows were more urgent.
// Under overload this tells more than the openings: refused clients come again at once,
// so that the urgent ones are soon a small part of all openings.
func (s *Service) MostUrgent(priority int) bool {
	return s.admitted.mostUrgent(priority, minUrgentAdmitted)
}

// priorities counts recent flows by priority.
type priorities struct {
	byPriority map[int]int
	total      int
}

func (c *priorities) add(priority, limit int) {
	if c.total >= limit {
		c.total = 0
		for p, n := range c.byPriority {
			c.byPriority[p] = n / 2
			c.total += n / 2
		}
	}
	c.byPriority[priority]++
	c.total++
}

// mostUrgent reports whether at most a share of the flows were more urgent than a priority.
func (c *priorities) mostUrgent(priority int, share float64) bool {
	moreUrgent := 0
	for p, n := range c.byPriority {
		if p < priority {
			moreUrgent += n
		}
	}
	return float64(moreUrgent) <= share*float64(c.total)
}
