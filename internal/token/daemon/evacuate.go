package daemon

import (
	"monsooncleat.example/monsooncleat/internal/dir/poll"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

// addEvacuations adds the accepted evacuations to an update.
func addEvacuations(u *core.Update, a *poll.Accepted) {
	u.EvacuationsVersion = a.EvacuationsVersion
	for _, e := range a.Evacuations {
		u.Evacuations = append(u.Evacuations, core.EvacuationUpdate{Centre: e.Centre, Active: e.Active, Age: e.Age, Changed: e.Changed})
	}
}

// logEvacuations logs the evacuations in force if their version has changed.
func (f *forwarder) logEvacuations(before uint64) {
	version := f.d.core.EvacuationsVersion()
	if version == before {
		return
	}
	evacuated := f.d.core.Evacuated()
	f.d.evacuations.Store(int64(len(evacuated)))
	f.d.log.Info("Evacuations in force.", "version", version, "evacuated", evacuated)
	if services := f.d.core.EvacuatedServices(); len(services) > 0 {
		f.d.log.Warn("Services have servers in evacuated data centres only. New flows are refused.", "services", services)
	}
}
