package soak_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSlowHandshakeLeadsNoFlowToAnotherServer guards against packets of an open flow at a server whose answer to the opening came after that of the flow's server.
func TestSlowHandshakeLeadsNoFlowToAnotherServer(t *testing.T) {
	const handshakeTime = 600 * time.Millisecond
	p := newPlay(t, 15, build(t), plain)
	slow := p.addServer("i-94", "x", p.address(1), 0)
	slow.mu.Lock()
	slow.handshakeTime = handshakeTime
	slow.mu.Unlock()
	client := p.clients[0]
	client.mu.Lock()
	client.latestTokens = map[uint16]uint32{}
	client.mu.Unlock()
	p.awaitStart()
	twice := 0
	for range 20 {
		f := client.openThrough(p.ip(relayGroup, 0), portX)
		p.c.Assert(f, qt.IsNotNil)
		// The flow has a pause, in which the slow server answers. Then routers turn to the next host.
		time.Sleep(handshakeTime)
		slow.mu.Lock()
		_, answered := slow.flows[f.key()]
		slow.mu.Unlock()
		if !answered || p.serverOf(f) == slow {
			continue
		}
		twice++
		f.relay = p.ip(relayGroup, 1)
		f.request(p.nextID.Add(1))
		p.mu.Lock()
		misdirected := p.misdirected[f.key()]
		p.mu.Unlock()
		p.c.Check(misdirected, qt.Equals, 0, qt.Commentf("flow %s", f.key()))
	}
	p.c.Logf("%d flows were answered by both servers", twice)
}
