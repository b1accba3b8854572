package daemon

import (
	"context"
	"encoding/json"
	"net/http"

	"monsooncleat.example/monsooncleat/internal/base/admin"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/core"
	"monsooncleat.example/monsooncleat/internal/dir/evac"
)

// Evacuate takes a data centre out of service or, if start is false, puts it back, and
// waits for the outcome.
func (d *Daemon) Evacuate(ctx context.Context, centre string, start bool) core.Code {
	return d.evacuate(ctx, centre, start).Code
}

func (d *Daemon) evacuate(ctx context.Context, centre string, start bool) core.Answer {
	began, base := d.clock.Now(), d.evacuationBase.Load()
	a := d.call(ctx, func(now clock.Millis, callID core.CallID) { d.core.Evacuate(now, callID, centre, start, base) })
	took := d.clock.Now() - began
	d.evacuationTime.Record(took.Duration())
	d.log.Info("Evacuation order decided.", "centre", centre[:min(len(centre), evac.MaxName)], "start", start, "outcome", a.Code.String(), "short", len(a.Shortages), "took", int64(took))
	return a
}

// Evacuation is the state of a data centre in a dump.
type Evacuation struct {
	Centre    string `json:"centre"`
	Evacuated bool   `json:"evacuated"`
	// SinceMillis is the time since this host learned of the last change.
	SinceMillis int64 `json:"sinceMillis"`
}

// evacuations must be called on the core goroutine.
func (d *Daemon) evacuations() []Evacuation {
	out := []Evacuation{}
	for _, e := range d.core.Evacuations(d.clock.Now()) {
		out = append(out, Evacuation{e.Centre, e.Active, int64(e.Age)})
	}
	return out
}

// EvacuationReply is the answer to an order at the admin address.
type EvacuationReply struct {
	Centre    string `json:"centre"`
	Evacuated bool   `json:"evacuated"`
	// Short are the services whose demand the servers left cannot bear.
	Short []evac.Shortage `json:"short,omitempty"`
}

// handleEvacuations adds the calls of the command line to the admin server.
func (d *Daemon) handleEvacuations(s *admin.Server) {
	s.Handle("GET /evacuations", func(w http.ResponseWriter, r *http.Request) {
		a := d.call(r.Context(), func(now clock.Millis, callID core.CallID) { d.core.ListEvacuations(now, callID) })
		answerAdmin(w, a.Code, a.Uses)
	})
	for method, start := range map[string]bool{http.MethodPost: true, http.MethodDelete: false} {
		s.Handle(method+" /evacuations/{centre}", func(w http.ResponseWriter, r *http.Request) {
			centre := r.PathValue("centre")
			a := d.evacuate(r.Context(), centre, start)
			answerAdmin(w, a.Code, EvacuationReply{centre, start, a.Shortages})
		})
	}
}

// answerAdmin writes the answer to a call at the admin address.
func answerAdmin(w http.ResponseWriter, code core.Code, body any) {
	switch code {
	case core.Done:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body)
	case core.UnknownCentre:
		http.Error(w, "unknown data centre", http.StatusNotFound)
	default:
		http.Error(w, "not confirmed by a quorum, or contradicts a newer order", http.StatusServiceUnavailable)
	}
}
