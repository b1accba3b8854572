package loads

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

// Sum returns the sum, by server token, of the loads that entry hosts reported to any
// control host.
func (a *Aggregator) Sum(now clock.Millis) choose.Loads { return a.sumAll(now) }
