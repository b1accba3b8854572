package daemon

import (
	"math/rand/v2"

	"monsooncleat.example/monsooncleat/internal/conf/tune"
	"monsooncleat.example/monsooncleat/internal/dir/poll"
	"monsooncleat.example/monsooncleat/internal/serve/tokens"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

// newInstance returns the number by which control hosts tell this run of the process from
// others with its name, or 0 if the host takes no grants.
func newInstance(off tune.Off) uint64 {
	if off.Has(tune.WarmupLimits) {
		return 0
	}
	return max(rand.Uint64(), 1)
}

// addGrants copies the grants of a reply to an update.
func addGrants(u *core.Update, a *poll.Accepted) {
	u.GrantedAt = a.GrantedAt
	for _, g := range a.Grants {
		u.Grants = append(u.Grants, core.GrantUpdate{Token: tokens.Token(g.Token), Rate: float64(g.Rate), Term: g.Term})
	}
}

// logCold publishes the number of cold servers, and logs it when it changes.
func (f *forwarder) logCold() {
	cold := f.d.core.ColdCount()
	if cold == f.cold {
		return
	}
	f.d.log.Info("Cold servers changed.", "cold", cold, "before", f.cold, "opened", f.d.core.Stats().OpenedCold,
		"refused", f.d.core.Stats().ResetCold)
	f.cold = cold
	f.d.coldServers.Store(int64(cold))
}
