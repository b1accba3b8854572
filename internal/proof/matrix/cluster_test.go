package matrix_test

import (
	"crypto/ed25519"
	"crypto/sha256"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/timers"
	"monsooncleat.example/monsooncleat/internal/bundle/chain"
	"monsooncleat.example/monsooncleat/internal/bundle/sign"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
	"monsooncleat.example/monsooncleat/internal/bundle/state"
	"monsooncleat.example/monsooncleat/internal/ctrl/msgs"
	"monsooncleat.example/monsooncleat/internal/entry/core"
	"monsooncleat.example/monsooncleat/internal/host/member"
	"monsooncleat.example/monsooncleat/internal/wire/codec"
)

const (
	dataCentre   = "oulu1"
	controlAddr  = "control:1"
	tickInterval = 20 * clock.Millis(1)
)

// Ports of entry hosts.
const (
	fabricPort = 1
	peerPort   = 2
	answerPort = 3
)

// link is a directed link between hosts, servers or the fabric, by name.
type link struct{ from, to string }

// cluster simulates entry hosts, servers, clients and a control host. All events
// run in one goroutine on a simulated clock.
type cluster struct {
	now     clock.Millis
	rand    *rand.Rand
	queue   timers.Queue[func()]
	hosts   map[string]*host
	servers map[string]*server
	// nameByAddr maps an address to the name of its host or server.
	nameByAddr map[string]string
	cutLinks   map[link]bool
	// slowLinks makes a message inside the data centre take 1 to 3 ms, in place
	// of 0 or 1 ms.
	slowLinks bool
	// lossRate is the share of messages from hosts and servers that is lost.
	lossRate float64
	// fabricLossRate and fabricDuplicateRate are the shares of the clients'
	// packets that the fabric loses and duplicates.
	fabricLossRate      float64
	fabricDuplicateRate float64
	// disabled are the mechanisms that entry hosts run without.
	disabled core.Mechanisms
	control  *control
	clients  *clients
	// violations lists the invariants that did not hold.
	violations []string
	// startCount counts the starts of hosts. It makes their boot IDs unique.
	startCount uint64
}

// host is one entry host.
type host struct {
	name    string
	core    *core.Core
	alive   bool
	frozen  bool
	leaving bool
	// deferred holds the events that arrived while the host was frozen.
	deferred []func(*core.Core)
	diedAt   clock.Millis
	// controlBytes counts the bytes of the frames that the host has sent.
	controlBytes int
}

// newCluster returns a cluster without entry hosts and servers.
func newCluster(seed uint64, disabled core.Mechanisms) *cluster {
	cl := &cluster{
		now: 1, rand: rand.New(rand.NewPCG(seed, 7)), hosts: map[string]*host{}, servers: map[string]*server{},
		nameByAddr: map[string]string{}, cutLinks: map[link]bool{}, disabled: disabled,
	}
	cl.control = newControl()
	cl.clients = newClients(cl)
	return cl
}

// hostAddr returns the address of a port of entry host number i, counted from 0.
func hostAddr(i, port int) string { return fmt.Sprintf("127.0.20.%d:%d", i+1, port) }

// recordViolation records that an invariant does not hold.
func (cl *cluster) recordViolation(format string, args ...any) {
	cl.violations = append(cl.violations, fmt.Sprintf("%d ms: ", cl.now)+fmt.Sprintf(format, args...))
}

// startHost starts or restarts entry host number i of total.
func (cl *cluster) startHost(i, total int) *host {
	name := fmt.Sprintf("e%d", i+1)
	cl.startCount++
	opts := core.Options{
		Name: name, Centre: dataCentre, Boot: uint64(cl.now)*1000 + cl.startCount, Fabric: hostAddr(i, fabricPort), Peer: hostAddr(i, peerPort),
		Answers: netip.MustParseAddrPort(hostAddr(i, answerPort)), Controls: []string{controlAddr}, Keys: cl.control.keys,
		MaxFlows: 100_000, MaxRequests: 50_000, Timing: member.DefaultTiming, Disabled: cl.disabled,
	}
	for j := range total {
		if j != i {
			opts.Seeds = append(opts.Seeds, hostAddr(j, peerPort))
		}
	}
	h := &host{name: name, alive: true, core: core.New(opts, cl.now, cl.rand)}
	cl.hosts[name] = h
	for port := fabricPort; port <= answerPort; port++ {
		cl.nameByAddr[hostAddr(i, port)] = name
	}
	cl.queue.Add(cl.now, func() { cl.tick(h) })
	return h
}

// tick runs the timers of h at each tickInterval until h stops or restarts. A
// leaving host stops once it is idle.
func (cl *cluster) tick(h *host) {
	if !h.alive || cl.hosts[h.name] != h {
		return
	}
	cl.queue.Add(cl.now+tickInterval, func() { cl.tick(h) })
	if h.frozen {
		return
	}
	cl.dispatch(h, func(c *core.Core) { c.Tick(cl.now) })
	if h.leaving && h.core.Drained() {
		cl.dispatch(h, func(c *core.Core) { c.Depart() })
		cl.kill(h.name)
	}
}

// dispatch runs event on h and sends its output. A stopped host drops the event,
// a frozen one defers it.
func (cl *cluster) dispatch(h *host, event func(*core.Core)) {
	switch {
	case !h.alive:
	case h.frozen:
		h.deferred = append(h.deferred, event)
	default:
		event(h.core)
		cl.sendOutput(h)
	}
}

// sendOutput sends the datagrams and frames that h has put out.
func (cl *cluster) sendOutput(h *host) {
	out := h.core.PendingOutput()
	for _, d := range out.Datagrams {
		data := slices.Clone(d.Data)
		cl.transmit(h.name, d.To.String(), func(to string) { cl.receiveDatagram(hostFabricAddr(h), d.To, to, data) })
	}
	for _, f := range out.Frames {
		cl.transmit(h.name, f.To, func(to string) { cl.receiveFrame(h, to, f.Body) })
		h.controlBytes += len(f.Body)
	}
	h.core.ClearOutput()
}

// hostFabricAddr returns the address at which h receives packets from the fabric and
// from which it sends datagrams.
func hostFabricAddr(h *host) netip.AddrPort {
	var i int
	_, _ = fmt.Sscanf(h.name, "e%d", &i)
	return netip.MustParseAddrPort(hostAddr(i-1, fabricPort))
}

// transmit passes the name of the receiver to deliver after the delay of the link,
// unless the link is cut or the message is lost.
func (cl *cluster) transmit(from, addr string, deliver func(to string)) {
	to := cl.nameByAddr[addr]
	if cl.cutLinks[link{from, to}] || cl.lossRate > 0 && cl.rand.Float64() < cl.lossRate {
		return
	}
	delay := clock.Millis(cl.rand.IntN(2))
	if cl.slowLinks {
		delay = 1 + clock.Millis(cl.rand.IntN(3))
	}
	cl.queue.Add(cl.now+delay, func() { deliver(to) })
}

// receiveDatagram delivers a datagram to the host or server called to, or to the
// clients if to is neither.
func (cl *cluster) receiveDatagram(from, addr netip.AddrPort, to string, data []byte) {
	switch {
	case cl.hosts[to] != nil && addr.Port() == answerPort:
		cl.dispatch(cl.hosts[to], func(c *core.Core) { c.HandleAnswer(cl.now, data) })
	case cl.hosts[to] != nil:
		cl.dispatch(cl.hosts[to], func(c *core.Core) { c.HandleDatagram(cl.now, from, data) })
	case cl.servers[to] != nil:
		cl.servers[to].receive(from, data)
	default:
		cl.clients.receive(data)
	}
}

// receiveFrame delivers a frame to the host called to, or a poll to the control
// host.
func (cl *cluster) receiveFrame(from *host, to string, body []byte) {
	if h := cl.hosts[to]; h != nil {
		cl.dispatch(h, func(c *core.Core) { c.HandleFrame(cl.now, body) })
		return
	}
	if codec.KindOf(body) == codec.Poll {
		if reply := cl.control.reply(body); reply != nil {
			cl.queue.Add(cl.now+3, func() { cl.dispatch(from, func(c *core.Core) { c.HandleFrame(cl.now, reply) }) })
		}
	}
}

// run advances the simulated clock by span and runs the events that become due.
func (cl *cluster) run(span clock.Millis) {
	end := cl.now + span
	for cl.now < end {
		if event, ok := cl.queue.PopDue(cl.now); ok {
			event()
			continue
		}
		cl.now++
	}
}

// kill stops a host abruptly.
func (cl *cluster) kill(name string) {
	cl.hosts[name].alive = false
	cl.hosts[name].diedAt = cl.now
}

// routeWithdrawDelay is how long the fabric still sends packets to a dead host.
const routeWithdrawDelay = 3 * clock.Second

// routedHosts returns the hosts that the fabric sends packets to.
func (cl *cluster) routedHosts() []string {
	return slices.DeleteFunc(cl.hostNames(), func(name string) bool {
		h := cl.hosts[name]
		return !h.alive && cl.now-h.diedAt > routeWithdrawDelay
	})
}

// leave starts the graceful shutdown of a host.
func (cl *cluster) leave(name string) {
	h := cl.hosts[name]
	h.leaving = true
	cl.dispatch(h, func(c *core.Core) { c.Leave(cl.now) })
}

func (cl *cluster) freeze(name string) { cl.hosts[name].frozen = true }

// unfreeze resumes a frozen host and runs its deferred events.
func (cl *cluster) unfreeze(name string) {
	h := cl.hosts[name]
	h.frozen = false
	for _, event := range h.deferred {
		cl.dispatch(h, event)
	}
	h.deferred = nil
}

// cutLink drops messages from a to b and, with bothWays, those from b to a.
func (cl *cluster) cutLink(a, b string, bothWays bool) {
	cl.cutLinks[link{a, b}] = true
	if bothWays {
		cl.cutLinks[link{b, a}] = true
	}
}

// isolate cuts the links from a host to the other hosts and, with bothWays, those
// to it.
func (cl *cluster) isolate(name string, bothWays bool) {
	for other := range cl.hosts {
		if other != name {
			cl.cutLink(name, other, bothWays)
		}
	}
}

// heal restores all cut links.
func (cl *cluster) heal() { cl.cutLinks = map[link]bool{} }

// hostNames returns the names of all hosts, dead ones too.
func (cl *cluster) hostNames() []string { return slices.Sorted(maps.Keys(cl.hosts)) }

// control simulates one control host that is always up to date.
type control struct {
	keys       sign.Keyring
	privateKey ed25519.PrivateKey
	machine    *state.Machine
	down       bool
}

func newControl() *control {
	seed := sha256.Sum256([]byte("test operator"))
	privateKey := ed25519.NewKeyFromSeed(seed[:])
	public, _ := privateKey.Public().(ed25519.PublicKey)
	c := &control{keys: sign.Keyring{"matti": public}, privateKey: privateKey}
	c.machine = state.New(c.keys)
	return c
}

// apply applies a signed command.
func (c *control) apply(kind state.Kind, version spec.Version, text string) state.Result {
	cmd := &state.Command{
		ID: fmt.Sprintf("%s-%d", kind, version), Kind: kind, Operator: "matti",
		Version: version, Digest: spec.DigestOf(text),
	}
	if kind == state.Publish {
		cmd.Text = text
	}
	cmd.Signature = ed25519.Sign(c.privateKey, cmd.SignedBytes())
	return c.machine.Apply(cmd)
}

// rollOut puts a bundle in force in the data centre.
func (c *control) rollOut(version spec.Version, text string) {
	for _, kind := range []state.Kind{state.Publish, state.Approve, state.Roll} {
		if r := c.apply(kind, version, text); r.Code != state.Done {
			panic(fmt.Sprintf("%s: %+v", kind, r))
		}
	}
	c.machine.Apply(&state.Command{Kind: state.Step, Version: version})
}

// reply returns the reply to a poll, or nil while the control host is down.
func (c *control) reply(body []byte) []byte {
	m, err := codec.Decode[msgs.Poll](body)
	if err != nil || c.down {
		return nil
	}
	u := chain.MakeUpdate(m.Position, c.machine.Releases(dataCentre), c.machine)
	return codec.Encode(codec.PollReply, msgs.PollReply{Current: true, Update: u})
}
