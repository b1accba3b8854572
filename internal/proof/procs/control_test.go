package procs_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/cli/cmds"
)

// commandTimeout bounds each bundle command.
const commandTimeout = 30 * time.Second

// bundleTemplate takes the version and the name of the service.
const bundleTemplate = `version = %d
[[dataCentre]]
name = "oulu1"
[[service]]
name = %q
kind = "stream"
protocol = "tcp"
addresses = ["198.51.100.20:7001"]
`

// cluster is three control hosts that run as processes, and the settings of an
// operator.
type cluster struct {
	c      *qt.C
	folder string
	bin    string
	addrs  []string
	procs  map[int]*exec.Cmd
}

func startCluster(t *testing.T) *cluster {
	c := qt.New(t)
	cl := &cluster{c: c, folder: c.TempDir(), procs: map[int]*exec.Cmd{}}
	cl.bin = build(c, cl.folder)
	cl.writeSettings()
	for i := range cl.addrs[:3] {
		cl.start(i)
	}
	t.Cleanup(func() {
		for i := range cl.procs {
			cl.kill(i)
		}
	})
	return cl
}

// build builds the program into folder and returns its path.
func build(c *qt.C, folder string) string {
	bin := filepath.Join(folder, "monsooncleat")
	out, err := exec.Command("go", "build", "-o", bin, "monsooncleat.example/monsooncleat/cmd/monsooncleat").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return bin
}

// Ports of the tests lie below 32768, where Linux starts the ports of outgoing connections.
const (
	firstPort = 25_000
	endPort   = 29_000
)

// freeAddrs returns n addresses whose ports are free. All of them are held until the last one
// is chosen, so that no two are the same.
func freeAddrs(c *qt.C, n int) []string {
	var out []string
	for range 1000 {
		if len(out) == n {
			return out
		}
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(endPort-firstPort)))
		if err != nil {
			continue
		}
		defer ln.Close()
		out = append(out, ln.Addr().String())
	}
	c.Fatalf("no %d free ports", n)
	return nil
}

func (cl *cluster) path(name string) string { return filepath.Join(cl.folder, name) }

// writeSettings creates the keys and writes the settings of the hosts and of the
// operator.
func (cl *cluster) writeSettings() {
	publicKey := strings.TrimSpace(cl.runCommand(0, "keys", "operator", cl.path("matti.key")))
	cl.runCommand(0, "keys", "shared", cl.path("shared.key"))
	hostTables := ""
	free := freeAddrs(cl.c, 6)
	for i := range 3 {
		cl.addrs = append(cl.addrs, free[i])
		hostTables += fmt.Sprintf("[[control]]\nname = \"c%d\"\naddress = %q\ninitial = true\n", i+1, cl.addrs[i])
	}
	operatorTable := fmt.Sprintf("[[operator]]\nname = \"matti\"\nkey = %q\n", publicKey)
	for i := range 3 {
		hostSettings := fmt.Sprintf("name = \"c%d\"\ndataCentre = \"oulu1\"\nadmin = %q\ndataFolder = %q\nkeyFile = \"shared.key\"\nsnapshotEvery = 20\n",
			i+1, free[3+i], cl.path(fmt.Sprintf("data%d", i)))
		cl.writeFile(fmt.Sprintf("c%d.toml", i+1), hostSettings+hostTables+operatorTable)
	}
	cl.writeFile("operator.toml", fmt.Sprintf("operator = \"matti\"\noperatorKey = \"matti.key\"\nkeyFile = \"shared.key\"\ncontrols = [%q, %q, %q]\n", cl.addrs[0], cl.addrs[1], cl.addrs[2]))
}

func (cl *cluster) writeFile(name, text string) {
	cl.c.Assert(os.WriteFile(cl.path(name), []byte(text), 0o600), qt.IsNil)
}

func (cl *cluster) start(i int) {
	cmd := exec.Command(cl.bin, "control", "-settings", cl.path(fmt.Sprintf("c%d.toml", i+1)), "-log-level", "error")
	cl.c.Assert(cmd.Start(), qt.IsNil)
	cl.procs[i] = cmd
}

func (cl *cluster) kill(i int) {
	if cmd := cl.procs[i]; cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		delete(cl.procs, i)
	}
}

// runCommand runs a command of the program inside the test process, checks its
// exit code and returns its standard output and error output.
func (cl *cluster) runCommand(wantCode int, args ...string) string {
	var out, errOut bytes.Buffer
	code := cmds.Run(args, &out, &errOut)
	cl.c.Assert(code, qt.Equals, wantCode, qt.Commentf("%v: %s", args, errOut.String()))
	return out.String() + errOut.String()
}

// bundle runs a bundle command as the operator and returns its output.
func (cl *cluster) bundle(action string, args ...string) string {
	return cl.runCommand(cmds.ExitDone, append([]string{"bundle", action, "-settings", cl.path("operator.toml"), "-timeout", commandTimeout.String()}, args...)...)
}

// rollOut publishes, approves and rolls out a version, and returns its digest.
func (cl *cluster) rollOut(version int) string {
	cl.writeFile("b.toml", fmt.Sprintf(bundleTemplate, version, "punnitus"))
	words := strings.Fields(cl.bundle("publish", cl.path("b.toml")))
	digest := words[len(words)-1]
	cl.bundle("approve", fmt.Sprint(version), digest)
	cl.bundle("roll", fmt.Sprint(version), digest)
	return digest
}

// status is the part of the output of "bundle status" that the tests read.
type status struct {
	Leader  string
	Highest int
	Term    uint64
	Rollout struct{ Stage int }
}

func (cl *cluster) status() status {
	var s status
	cl.c.Assert(json.Unmarshal([]byte(cl.bundle("status")), &s), qt.IsNil)
	return s
}

// TestKilledHostsLoseNoVersion kills the leader with SIGKILL between versions, then
// all hosts at once, and restarts one of them with an empty data folder. The
// highest version must survive, and a published version must not be replaced by
// another one of the same number.
func TestKilledHostsLoseNoVersion(t *testing.T) {
	cl := startCluster(t)
	c := cl.c
	version := 0
	for range 3 {
		for range 5 {
			version++
			cl.rollOut(version)
		}
		leader := slices.Index(cl.addrs, cl.status().Leader)
		cl.kill(leader)
		version++
		cl.rollOut(version)
		cl.start(leader)
	}
	cl.writeFile("b.toml", fmt.Sprintf(bundleTemplate, 2, "kuvat"))
	output := cl.runCommand(cmds.ExitFailed, "bundle", "publish", "-settings", cl.path("operator.toml"), cl.path("b.toml"))
	c.Check(output, qt.Matches, "(?s).*conflict.*")
	for i := range cl.addrs {
		cl.kill(i)
	}
	c.Assert(os.RemoveAll(cl.path("data2")), qt.IsNil)
	for i := range cl.addrs {
		cl.start(i)
	}
	c.Check(cl.status().Highest, qt.Equals, version)
	cl.rollOut(version + 1)
	c.Check(cl.status().Highest, qt.Equals, version+1)
}
