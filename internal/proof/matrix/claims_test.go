package matrix_test

import (
	"fmt"
	"slices"
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

// serverClaim is something that says that a server has ended.
type serverClaim struct {
	name  string
	claim func(cl *cluster, s *server)
}

// serverClaims are claims about a server that runs.
var serverClaims = []serverClaim{
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
}

// TestServersThatAnswerKeepTheirFlows guards against resets, and packets at other servers,
// while the servers of open flows answer and a wrong claim says that they have ended.
func TestServersThatAnswerKeepTheirFlows(t *testing.T) {
	for _, test := range serverClaims {
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

// TestSlowServersKeepTheirFlows guards against the same while the server of the flows answers
// late, so that clients retransmit.
func TestSlowServersKeepTheirFlows(t *testing.T) {
	claims := append(slices.Clone(serverClaims), serverClaim{"no claim", func(*cluster, *server) {}})
	for _, test := range claims {
		for _, late := range []clock.Millis{clock.Second, 5 * clock.Second, 15 * clock.Second, 40 * clock.Second} {
			t.Run(fmt.Sprintf("%s, %d ms late", test.name, late), func(t *testing.T) {
				cl := newReadyCluster(7, 4, 3, 16, core.Mechanisms{})
				cl.startLoad(60, 0, 0)
				cl.run(2 * clock.Second)
				for _, f := range cl.clients.allFlows {
					if f.server == cl.servers["s2"] {
						f.silentSide, f.constantInterval = "server", true
					}
				}
				test.claim(cl, cl.servers["s2"])
				cl.run(late)
				for _, f := range cl.clients.allFlows {
					f.silentSide = ""
				}
				cl.clients.runAndVerify(5 * clock.Second)
				qt.Check(t, cl.violations, qt.HasLen, 0)
			})
		}
	}
}
