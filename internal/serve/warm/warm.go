// Package warm decides on an entry host which servers are cold, and when a flow may open
// on one. It is the answer to servers that bear a fraction of their usual rate after a
// start: when a data centre returns, hundreds of entry hosts find its servers idle at the
// same moment, and together would open far more on each than it can answer.
//
// A cold server takes flows only by grants of the control hosts, which package grant
// hands out.
package warm

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// Centres holds when the latest evacuation of each data centre ended. It is not safe for
// concurrent use.
type Centres struct {
	endedAt map[string]clock.Millis
}

// NewCentres returns Centres without an evacuation.
func NewCentres() *Centres { return &Centres{endedAt: map[string]clock.Millis{}} }

// Evacuated records that an evacuation of a data centre ended. Of several ends, the
// latest one counts, in whichever order they are learned.
func (c *Centres) Evacuated(centre string, endedAt clock.Millis) {
	if known, ok := c.endedAt[centre]; !ok || endedAt > known {
		c.endedAt[centre] = endedAt
	}
}

// ColdUntil returns the time until which a server is cold: by its announcement or, if
// that is later, for the given time after the evacuation of its data centre.
func (c *Centres) ColdUntil(s *fleet.Server, duration clock.Millis) clock.Millis {
	until := s.ColdUntil()
	if endedAt, ok := c.endedAt[s.Centre]; ok {
		until = max(until, endedAt+duration)
	}
	return until
}

// Budget is the right of one entry host to open flows on one cold server. It grows with
// the time under a grant, and never holds more than one flow. The zero value allows none.
//
// It is empty when a grant begins. So the flows that all hosts open in any second are at
// most those that accrue in it under grants, plus one for each grant in force at its start.
type Budget struct {
	// rate is in flows a second, until the end of the grant.
	rate  float64
	until clock.Millis
	// credit is the number of flows that may be opened, as of at.
	credit float64
	at     clock.Millis
}

// Rate returns the rate of the latest grant, in flows a second.
func (b *Budget) Rate() float64 { return b.rate }

// Until returns the end of the latest grant.
func (b *Budget) Until() clock.Millis { return b.until }

// Grant allows flows at a rate, in flows a second, until a time. It replaces the grant
// before. If that has ended, what is left of it is lost, since the control host may have
// granted the same to another entry host in between.
func (b *Budget) Grant(now, until clock.Millis, rate float64) {
	b.accrue(now)
	if now >= b.until {
		b.credit = 0
	}
	b.rate, b.until = rate, until
}

// Revoke ends the grant.
func (b *Budget) Revoke(now clock.Millis) { b.until = min(b.until, now) }

// Available reports whether a flow may be opened now.
func (b *Budget) Available(now clock.Millis) bool {
	b.accrue(now)
	return now < b.until && b.credit >= 1
}

// Take counts a flow that is opened now.
func (b *Budget) Take(now clock.Millis) {
	b.accrue(now)
	b.credit = max(b.credit-1, 0)
}

func (b *Budget) accrue(now clock.Millis) {
	if end := min(now, b.until); end > b.at {
		b.credit = min(b.credit+b.rate*float64(end-b.at)/float64(clock.Second), 1)
	}
	b.at = max(b.at, now)
}
