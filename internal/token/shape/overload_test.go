package shape_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

const (
	// These are the demand of the card tournament on each entry host: uploads of 40 kB on
	// average and up to 240 kB, and requests of one packet.
	uploadsPerMilli  = 0.003
	requestsPerMilli = 0.045
	uploadDeadline   = 6000
	demandTime       = 20_000
)

// playTournament runs the tournament's demand, multiplied by factor, on one host. It returns
// the part of the link that uploads used that ended by their deadline, the part of the
// uploads that did, and the 99th percentile of the waits of requests.
func playTournament(h *host, factor float64) (goodput, inTime float64, wait clock.Millis) {
	random := rand.New(rand.NewPCG(1, 2))
	uploads, started, r := map[int]*upload{}, map[*upload]clock.Millis{}, &result{}
	var live []*upload
	flows, nextUpload, nextRequest, done, bytes := 0, 0.0, 0.0, 0, 0
	for now := clock.Millis(1); now <= demandTime+uploadDeadline; now++ {
		for ; nextUpload <= float64(now) && now <= demandTime; nextUpload += random.ExpFloat64() / (uploadsPerMilli * factor) {
			u := newUpload(flows, int(min(random.ExpFloat64()*40_000+1, 240_000)))
			uploads[flows], started[u] = u, now
			flows++
			if h.shaper == nil || !h.shaper.Full(now, uploadRoute) {
				live = append(live, u)
			}
		}
		for ; nextRequest <= float64(now) && now <= demandTime; nextRequest += random.ExpFloat64() / (requestsPerMilli * factor) {
			h.in.queue = append(h.in.queue, packet{flows, smallSize, 1, now})
			flows++
		}
		live = slices.DeleteFunc(live, func(u *upload) bool {
			if u.done > 0 {
				done++
				bytes += u.packets * (dataSize + tokenSize + headerSize)
			}
			return u.done > 0 || now-started[u] > uploadDeadline
		})
		for _, u := range live {
			u.step(now, h)
		}
		for _, p := range h.step(now) {
			if u := uploads[p.flow]; u != nil {
				u.receive(now, p)
			} else {
				r.waits = append(r.waits, now-p.sentAt)
			}
		}
	}
	slices.Sort(r.waits)
	return float64(bytes) / (linkRate / 8000 * demandTime), float64(done) / float64(len(uploads)), r.wait(99)
}

// TestTournamentOverload guards against uploads that take up the link and don't end: at six
// times the demand, all that the requests leave of it is two thirds. It also checks that
// nothing is refused at the usual demand.
func TestTournamentOverload(t *testing.T) {
	c := qt.New(t)
	for _, front := range []float64{1, wide} {
		for _, factor := range []float64{1, 3, 6, 10} {
			h, unshaped := newHost(true, linkRate), newHost(false, linkRate)
			h.in.perMilli, unshaped.in.perMilli = linkRate/8000*front, linkRate/8000*front
			goodput, inTime, wait := playTournament(h, factor)
			before, inTimeBefore, waitBefore := playTournament(unshaped, factor)
			c.Logf("%g times the demand, front %g: uploads use %.2f, %.3f in time, p99 of requests %d; without a shaper %.2f, %.3f, %d",
				factor, front, goodput, inTime, wait, before, inTimeBefore, waitBefore)
			switch factor {
			case 1:
				c.Check(inTime, qt.Equals, 1.0)
			case 6:
				c.Check(goodput > 0.4 && goodput > 1.5*before, qt.IsTrue)
				c.Check(10*wait < waitBefore, qt.IsTrue)
			}
		}
	}
}
