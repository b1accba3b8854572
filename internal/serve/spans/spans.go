// Package spans estimates how long the requests of a service stay in flight, for entry
// hosts that don't see how a request ends. When routers drop or take back an entry host,
// most flows go on through other hosts, several times in a second if hosts return one by
// one. The host that counted a request then gets no further packet of it. Counted until a
// timeout, such requests are several times those in flight, and openings are refused while
// servers have free slots. Counted for the mean time that requests take, they add up to
// the right number.
package spans

import "monsooncleat.example/monsooncleat/internal/base/clock"

const (
	// weight is the weight of a new measurement in the exponentially weighted means.
	weight = 1.0 / 16
	// unmeasured stands for a mean without measurements, as on a host that has just
	// started. Routers still move flows to and from it then.
	unmeasured = 100 * clock.Millis(1)
)

// mean is an exponentially weighted mean.
type mean struct {
	value    float64
	measured bool
}

func (m *mean) add(t clock.Millis) {
	if !m.measured {
		m.value, m.measured = float64(t), true
		return
	}
	m.value += (float64(t) - m.value) * weight
}

// atMost returns the mean in whole milliseconds, or a limit if that is less.
func (m *mean) atMost(limit clock.Millis) clock.Millis {
	if !m.measured {
		return min(unmeasured, limit)
	}
	return min(clock.Millis(m.value+0.5), limit)
}

// Service holds the measurements of a service. The zero value has none. It is not safe for
// concurrent use.
type Service struct{ handshake, response, interval mean }

// RecordHandshake records the time from an opening packet to the client's next one.
func (s *Service) RecordHandshake(t clock.Millis) { s.handshake.add(t) }

// RecordResponse records the time from a request to the first acknowledgement of its
// response.
func (s *Service) RecordResponse(t clock.Millis) { s.response.add(t) }

// RecordInterval records the time between the starts of two requests on a flow.
func (s *Service) RecordInterval(t clock.Millis) { s.interval.add(t) }

// Handshake returns the mean time of handshakes, at most limit.
func (s *Service) Handshake(limit clock.Millis) clock.Millis { return s.handshake.atMost(limit) }

// Response returns the mean time of responses, at most limit.
func (s *Service) Response(limit clock.Millis) clock.Millis { return s.response.atMost(limit) }

// Interval returns the mean time between requests on a flow, at most limit.
func (s *Service) Interval(limit clock.Millis) clock.Millis { return s.interval.atMost(limit) }
