package server_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/serve/roster"
	"monsooncleat.example/monsooncleat/internal/stand/server"
	"monsooncleat.example/monsooncleat/internal/wire/envel"
	"monsooncleat.example/monsooncleat/internal/wire/geneve"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

// request sends an attempt of a request to the server and returns the answer, or nil if
// none comes.
func request(c *qt.C, conn *net.UDPConn, to netip.AddrPort, attempt uint64) *envel.Answer {
	packet := inner.BuildUDP(netip.MustParseAddrPort(conn.LocalAddr().String()), virtualIP,
		envel.EncodeRequest(&envel.Request{ID: "r", Attempt: attempt, Client: "127.0.61.9"}))
	_, err := conn.WriteToUDPAddrPort(geneve.Append(nil, packet, nil), to)
	c.Assert(err, qt.IsNil)
	c.Assert(conn.SetReadDeadline(time.Now().Add(500*time.Millisecond)), qt.IsNil)
	buf := make([]byte, 2048)
	n, err := conn.Read(buf)
	if err != nil {
		return nil
	}
	answer, err := envel.DecodeAnswer(buf[:n])
	c.Assert(err, qt.IsNil)
	return answer
}

// TestRefusesRequestsWhileItDrains guards against a server that ends as soon as it has no
// work. The entry hosts that don't know yet that it drains would get no answer to the
// requests that they send to it, and these would end as unknown although they haven't run.
func TestRefusesRequestsWhileItDrains(t *testing.T) {
	c := qt.New(t)
	announcements := make(chan roster.Announcement, 64)
	entry := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var a roster.Announcement
		c.Check(json.NewDecoder(r.Body).Decode(&a), qt.IsNil)
		announcements <- a
	}))
	defer entry.Close()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 61, 3)})
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	address := netip.MustParseAddrPort("127.0.61.4:21007")
	s, err := server.New(server.Options{
		Name: "s", Service: "tickets", ListenAddr: address.String(), Slots: 1, DrainTimeout: time.Minute,
		AnnounceAddrs: []string{strings.TrimPrefix(entry.URL, "http://")},
	})
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	<-announcements
	answer := request(c, conn, address, 1)
	c.Assert(answer, qt.IsNotNil)
	c.Check(answer.Outcome, qt.Equals, envel.Answered)

	cancel()
	draining := time.Now()
	for attempt := uint64(2); time.Since(draining) < roster.HeartbeatTimeout.Duration()-500*time.Millisecond; attempt++ {
		answer := request(c, conn, address, attempt)
		c.Assert(answer, qt.IsNotNil, qt.Commentf("no answer %s after the server began to drain", time.Since(draining)))
		if attempt > 2 { // the first may come before the server notices
			c.Check(answer.Outcome, qt.Equals, envel.NotRun)
		}
		time.Sleep(200 * time.Millisecond)
	}
	select {
	case err := <-ended:
		c.Check(err, qt.IsNil)
	case <-time.After(20 * time.Second):
		c.Fatal("the server has not ended")
	}
	var last roster.Announcement
	for len(announcements) > 0 {
		last = <-announcements
	}
	c.Check(last.Leaving, qt.IsTrue)
}
