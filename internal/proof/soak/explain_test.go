package soak_test

import (
	"fmt"
	"net/netip"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// build builds the program with the given build flags and returns its path.
func build(t *testing.T, flags ...string) string {
	bin := filepath.Join(t.TempDir(), "monsooncleat")
	args := append(append([]string{"build"}, flags...), "-o", bin, "monsooncleat.example/monsooncleat/cmd/monsooncleat")
	out, err := exec.Command("go", args...).CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return bin
}

// crash stops a stand-in: it neither replies to packets nor announces itself any
// more.
func (s *server) crash() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	_ = s.conn.Close()
}

// TestExplainNamesKilledServer stops the server of an open flow. The command explain
// must then find it as the cause in the logs of all processes.
func TestExplainNamesKilledServer(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(t, 7, build(t), plain)
	env.runInBackground(env.probeRelays)
	for i := range 3 {
		env.addServer(fmt.Sprintf("i-7%x", i+1), "x", fmt.Sprintf("%s:%d", env.ip(serverGroup, i), 9000), 0)
	}
	env.publishFirst()
	env.await("all relays ready", func() bool { return len(env.readyRelays()) == relayCount })
	var f *flow
	env.await("a flow opens", func() bool { f = env.clients[0].open(portX); return f != nil })
	c.Assert(f, qt.IsNotNil)
	c.Assert(f.request(1), qt.Equals, answered)
	s := env.serverOf(f)
	c.Assert(s, qt.IsNotNil)
	s.crash()
	c.Assert(f.request(2), qt.Not(qt.Equals), answered)

	logs, err := filepath.Glob(filepath.Join(env.folder, "*.log"))
	c.Assert(err, qt.IsNil)
	c.Assert(logs, qt.HasLen, controlCount+relayCount)
	clientAddr := netip.AddrPortFrom(netip.AddrFrom4(f.client.ip), f.port).String()
	var out []byte
	env.await("the cause is in the logs", func() bool {
		out, err = exec.Command(env.bin, append([]string{"explain", clientAddr}, logs...)...).CombinedOutput()
		return err == nil && strings.Contains(string(out), "did not answer") && strings.Contains(string(out), "ceased to announce")
	})
	c.Check(string(out), qt.Contains, "cause: server "+s.id+" did not answer", qt.Commentf("%s", out))
	c.Check(env.violations, qt.HasLen, 0)
}
