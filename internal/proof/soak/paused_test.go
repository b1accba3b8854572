package soak_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPausedRelayDoesNotResetOpenFlow guards against a relay that was paused while an
// evacuation ended, and then refuses the first opening packet of a flow by what it knew
// before. A copy of the packet has opened the flow through another relay meanwhile.
func TestPausedRelayDoesNotResetOpenFlow(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(t, 8, build(t), plain)
	env.runInBackground(env.probeRelays)
	env.addServer("i-81", "x", fmt.Sprintf("%s:%d", env.ip(serverGroup, 0), 9000), 0)
	env.publishFirst()
	env.await("all relays ready", func() bool { return len(env.readyRelays()) == relayCount })
	env.await("a flow opens", func() bool { return env.clients[0].open(portX) != nil })
	env.order("a", true)
	time.Sleep(time.Second)

	paused, client := env.procs[controlCount], env.clients[0]
	paused.signal(syscall.SIGSTOP)
	env.await("the relay has stopped", func() bool { return isStopped(c, paused) })
	stoppedAt := time.Now()
	env.order("a", false)
	f := &flow{client: client, port: 9999, dstPort: portX, in: make(chan packet, 16), seq: 1}
	client.mu.Lock()
	client.inbound[f.port] = f.in
	client.mu.Unlock()
	send := func(relay string, transmission uint32) {
		client.sendTo(relay, f.packet(flagSyn, transmission, nil))
	}
	send(paused.ip, 0)
	other := env.ip(relayGroup, 1)
	env.await("the other relay knows of the end", func() bool {
		_, b := callHTTP(http.MethodGet, "http://"+other+":9464/debug/vars", nil)
		var got struct{ Evacuations *int }
		return json.Unmarshal(b, &got) == nil && got.Evacuations != nil && *got.Evacuations == 0
	})
	time.Sleep(time.Until(stoppedAt.Add(2 * retransmitDelay)))
	send(other, 1)
	select {
	case reply := <-f.in:
		c.Assert(reply.flags, qt.Equals, byte(flagSyn|flagAck))
	case <-time.After(requestTimeout):
		c.Fatal("the flow was not opened")
	}
	// The relay takes itself to be up to date for 1.5 s after its last news.
	time.Sleep(time.Until(stoppedAt.Add(900 * time.Millisecond)))
	paused.signal(syscall.SIGCONT)
	select {
	case pkt := <-f.in:
		c.Check(pkt.flags&flagReset, qt.Equals, byte(0), qt.Commentf("the open flow was reset"))
	case <-time.After(time.Second):
	}
	c.Check(env.violations, qt.HasLen, 0)
}

// isStopped reports whether all threads of a process have stopped, which takes a while after the
// signal on a busy machine.
func isStopped(c *qt.C, p *process) bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	c.Assert(err, qt.IsNil)
	for _, thread := range threads {
		// The state follows the name, which is in parentheses.
		stat, err := os.ReadFile(thread)
		if _, state, found := strings.Cut(string(stat), ") "); err != nil || !found || state[0] != 'T' {
			return false
		}
	}
	return len(threads) > 0
}
