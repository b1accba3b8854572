package matrix_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/entry/core"
	"monsooncleat.example/monsooncleat/internal/serve/roster"
)

// announceRecordOfAnother announces the address of another server under the name of s.
func (s *server) announceRecordOfAnother(other *server, start clock.Millis) {
	a := &roster.Announcement{Name: s.name, Service: s.service, Address: other.addr.String(), Start: start, Weight: 1, Connections: 10_000}
	h := s.cluster.hosts["e1"]
	s.cluster.dispatch(h, func(c *core.Core) { c.HandleAnnouncement(s.cluster.now, a) })
}

// TestServersThatAnswerKeepTheirFlows guards against resets, and packets at other servers,
// while the servers of open flows answer and a wrong claim says that they have ended.
func TestServersThatAnswerKeepTheirFlows(t *testing.T) {
	for _, test := range []struct {
		name  string
		claim func(cl *cluster, s *server)
	}{
		{"no announcements", func(_ *cluster, s *server) { s.silent = true }},
		{"departure", func(_ *cluster, s *server) { s.announce(true); s.silent = true }},
		{"another address", func(cl *cluster, s *server) { s.announceRecordOfAnother(cl.servers["s4"], s.startedAt) }},
		{"another address, later start", func(cl *cluster, s *server) { s.announceRecordOfAnother(cl.servers["s4"], cl.now) }},
		{"another address again and again, during a handover", func(cl *cluster, s *server) {
			for range 10 {
				s.announceRecordOfAnother(cl.servers["s4"], cl.now)
				cl.run(500)
			}
			cl.leave("e3")
			for range 10 {
				s.announceRecordOfAnother(cl.servers["s4"], cl.now)
				cl.run(500)
			}
		}},
		{"no announcements, then a host dies", func(cl *cluster, s *server) {
			s.silent = true
			cl.run(8 * clock.Second)
			cl.kill("e2")
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(3) {
				cl := newReadyCluster(seed, 4, 3, 16, core.Mechanisms{})
				cl.startLoad(60, 0, 0)
				cl.run(2 * clock.Second)
				test.claim(cl, cl.servers["s2"])
				cl.clients.runAndVerify(25 * clock.Second)
				qt.Check(t, cl.violations, qt.HasLen, 0, qt.Commentf("seed %d", seed))
			}
		})
	}
}
