package verify_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/verify"
)

// TestEvidenceOfSilence guards against ends of flows on too little evidence, and against
// none on enough. Each retransmission is given by its time and that of its request.
func TestEvidenceOfSilence(t *testing.T) {
	type packet struct{ at, sent clock.Millis }
	tests := []struct {
		name            string
		answeredAt      clock.Millis
		retransmissions []packet
		confirmed       bool
		conclusiveAt    clock.Millis
	}{
		{"one retransmission", 0, []packet{{1200, 1000}}, false, 0},
		{"two of one request", 0, []packet{{1200, 1000}, {1600, 1000}}, true, 0},
		{"reordered packets", 0, []packet{{1001, 1000}, {1002, 1000}, {1200, 1000}}, false, 0},
		{"two packets lost at one moment", 0, []packet{{1200, 1000}, {1201, 1000}}, false, 0},
		{"two flows at one moment", 0, []packet{{1200, 1000}, {1250, 1050}}, false, 0},
		{"two flows one after the other", 0, []packet{{1200, 1000}, {1350, 1150}}, true, 0},
		{"an answer after the request", 1001, []packet{{1200, 1000}, {1600, 1000}}, false, 0},
		{"an answer with the request", 1000, []packet{{1200, 1000}, {1600, 1000}}, true, 0},
		{"one lost packet long ago", 0, []packet{{1200, 1000}, {5000, 4800}}, false, 0},
		{"the longest interval of clients", 0, []packet{{2400, 1000}, {4000, 1000}}, true, 0},
		{"three over a second", 0, []packet{{1200, 1000}, {1600, 1000}, {2400, 1000}}, true, 2900},
		{"three within a second", 0, []packet{{1200, 1000}, {1350, 1000}, {1500, 1000}}, true, 0},
	}
	for _, test := range tests {
		s := verify.Silence{}
		s.Restart(test.answeredAt)
		confirmed := false
		var last clock.Millis
		for _, p := range test.retransmissions {
			confirmed, last = s.Unanswered(p.at, p.sent), p.at
		}
		qt.Check(t, confirmed, qt.Equals, test.confirmed, qt.Commentf(test.name))
		qt.Check(t, s.Conclusive(last), qt.Equals, test.conclusiveAt > 0, qt.Commentf(test.name))
		if test.conclusiveAt > 0 {
			qt.Check(t, s.Conclusive(test.conclusiveAt), qt.IsTrue, qt.Commentf(test.name))
			qt.Check(t, s.Conclusive(test.conclusiveAt+1), qt.IsFalse, qt.Commentf(test.name))
		}
		s.Restart(last)
		qt.Check(t, s.Conclusive(last) || s.Count() > 0, qt.IsFalse, qt.Commentf(test.name))
	}
}
