package admit_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/admit"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

// measured returns a Service whose handshakes take 8 ms and whose requests take 38 ms
// without a queue. So 150 ms leave 104 ms for waiting, which is 3.5 times the work.
func measured() *admit.Service {
	s := admit.NewService()
	for range 32 {
		s.RecordHandshake(8)
		s.RecordResponse(38, 0.5)
	}
	return s
}

func TestAdmitsByExpectedWait(t *testing.T) {
	tests := []struct {
		name     string
		kind     choose.Kind
		goal     clock.Millis
		load     float64
		meanLoad float64
		want     bool
	}{
		{"free slot", choose.Short, 150, 0.5, 0.5, true},
		{"short queue", choose.Short, 150, 2.5, 2.5, true},
		{"queue that takes more than half of the slack", choose.Short, 150, 3, 2.5, false},
		{"the same queue under a longer goal", choose.Short, 400, 3, 2.5, true},
		{"long flow at a moderate mean", choose.Long, 150, 1, 1.5, true},
		{"long flow on a free server, but others are busy", choose.Long, 150, 1, 2, false},
		{"goal shorter than the work", choose.Short, 30, 1, 0.5, true},
		{"goal shorter than the work, and a queue", choose.Short, 30, 1.5, 0.5, false},
		{"no goal", choose.Short, 0, 5, 5, true},
		{"no goal, and a full server", choose.Short, 0, 5.5, 5, false},
		{"long goal, and a full server", choose.Short, 60_000, 5.5, 5, false},
	}
	for _, test := range tests {
		s := measured()
		o := admit.Opening{Kind: test.kind, Goal: test.goal, Load: test.load, MeanLoad: test.meanLoad}
		s.RecordOpening(o.Priority)
		qt.Check(t, s.Admit(&o), qt.Equals, test.want, qt.Commentf(test.name))
	}
}

func TestAdmitsAllBeforeTheFirstMeasurements(t *testing.T) {
	s := admit.NewService()
	qt.Check(t, s.Admit(&admit.Opening{Goal: 150, Load: 100, MeanLoad: 100}), qt.IsTrue)
}

// TestLessUrgentIsRefusedFirst has flows of two priorities. At a load that is between
// their limits, only the urgent ones are admitted.
func TestLessUrgentIsRefusedFirst(t *testing.T) {
	urgent := admit.Opening{Goal: 150, Priority: 1, Load: 2.2}
	other := admit.Opening{Goal: 150, Priority: 2, Load: 2.2}
	for _, test := range []struct {
		name        string
		urgentShare int
		want        bool
	}{{"no urgent flows", 0, true}, {"rare probes of an urgent route", 1, true}, {"many urgent flows", 30, false}} {
		s := measured()
		for i := range 100 {
			if i < test.urgentShare {
				s.RecordOpening(urgent.Priority)
			} else {
				s.RecordOpening(other.Priority)
			}
		}
		qt.Check(t, s.Admit(&other), qt.Equals, test.want, qt.Commentf(test.name))
		qt.Check(t, s.Admit(&urgent), qt.IsTrue, qt.Commentf(test.name))
	}
}

// TestSurgeDoesNotRaiseTheEstimate records responses that queued although the host
// believed their server to be free, as at the start of a surge.
func TestSurgeDoesNotRaiseTheEstimate(t *testing.T) {
	s := measured()
	for range 3 * 32 {
		s.RecordResponse(150, 0.5)
	}
	o := admit.Opening{Goal: 150, Load: 2.2}
	qt.Check(t, s.Admit(&o), qt.IsTrue)
	o.Load = 3
	qt.Check(t, s.Admit(&o), qt.IsFalse)
}

// TestRequestsThatQueuedAreIgnored records slow responses of loaded servers only.
func TestRequestsThatQueuedAreIgnored(t *testing.T) {
	s := admit.NewService()
	for range 100 {
		s.RecordResponse(150, 2)
	}
	qt.Check(t, s.Admit(&admit.Opening{Goal: 150, Load: 100}), qt.IsTrue)
}
