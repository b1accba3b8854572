package matrix_test

import (
	"fmt"
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/ask/ledger"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/entry/core"
	"monsooncleat.example/monsooncleat/internal/host/homes"
	"monsooncleat.example/monsooncleat/internal/wire/envel"
	"monsooncleat.example/monsooncleat/internal/wire/geneve"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

var (
	// fabricSourceAddr is the address that the fabric sends packets from.
	fabricSourceAddr = netip.MustParseAddrPort("127.0.40.1:1")
	clientIP         = netip.MustParseAddr("127.0.41.1")
	streamVIP        = netip.MustParseAddrPort("198.51.100.20:7001")
	requestVIP       = netip.MustParseAddrPort("198.51.100.10:7000")
)

// flow is one TCP stream of a client.
type flow struct {
	key inner.Key
	src netip.AddrPort
	dst netip.AddrPort
	// seq is the sequence number before that of the next data byte. It starts at
	// isn.
	seq    uint32
	server *server
	open   bool
	broken bool
	// refused is set when the flow was reset before it was open.
	refused bool
	// mayBreak is set when a reset or silence is no violation, as after the
	// failure of the flow's server.
	mayBreak bool
	// idle flows send nothing after the SYN and one data segment.
	idle bool
	// silentSide is the side whose packets no longer arrive: "client", "server" or
	// neither.
	silentSide string
	// isn is the initial sequence number.
	isn      uint32
	sentData bool
	// retransmissions counts the retransmissions scheduled to a silent server.
	retransmissions int
	// constantInterval is set if the client retransmits without a longer and longer pause.
	constantInterval bool
	// receivedAt is when a segment last reached the flow's server.
	receivedAt clock.Millis
}

// request is one request of a client, with all its tries.
type request struct {
	id           string
	idempotent   bool
	try          uint32
	runs         int
	runsByTry    map[uint32]int
	refusedTries map[uint32]bool
	outcome      envel.Outcome
	startedAt    clock.Millis
	tryStartedAt clock.Millis
	endedAt      clock.Millis
	maxTries     uint32
}

// clients holds the flows and requests of all clients, and checks invariants as
// packets reach servers and answers come back.
type clients struct {
	cluster       *cluster
	flows         map[inner.Key]*flow
	allFlows      []*flow
	requests      map[string]*request
	serviceByAddr map[netip.AddrPort]string
	lastPort      uint16
	lastID        int
	homeTable     *homes.Table
	// slotOverruns counts the requests that reached a server without a free slot.
	slotOverruns int
	resets       int
	answered     int
	refusals     int
	// slowestRefusal is the longest time from the start of a try to its refusal.
	slowestRefusal clock.Millis
	// onlyHome, if set, restricts requests to those with this home.
	onlyHome        string
	unknownOutcomes int
}

const (
	segmentInterval = 200 * clock.Millis(1)
	resendInterval  = 250 * clock.Millis(1)
	tryTimeout      = 5 * clock.Second
)

func newClients(cl *cluster) *clients {
	return &clients{
		cluster: cl, flows: map[inner.Key]*flow{}, requests: map[string]*request{}, lastPort: 1000,
		serviceByAddr: map[netip.AddrPort]string{streamVIP: "punnitus", requestVIP: "tickets"},
	}
}

// expectedService returns the service that a packet belongs to: that of its
// open flow, or else the one that owns its destination address now.
func (c *clients) expectedService(key inner.Key) string {
	if f := c.flows[key]; f != nil && f.open {
		return f.server.service
	}
	return c.serviceByAddr[key.Dst()]
}

// sendViaFabric sends a packet to a random entry host, as the fabric does with
// equal-cost multipath routing. The packet may be lost or duplicated.
func (c *clients) sendViaFabric(packet []byte) {
	cl := c.cluster
	n := 1
	if cl.rand.Float64() < cl.fabricDuplicateRate {
		n++
	}
	for range n {
		names := cl.routedHosts()
		name := names[cl.rand.IntN(len(names))]
		if cl.rand.Float64() < cl.fabricLossRate || cl.cutLinks[link{"fabric", name}] {
			continue
		}
		data := geneve.Append(nil, packet, nil)
		cl.queue.Add(cl.now+3+clock.Millis(cl.rand.IntN(3)), func() {
			if h := cl.hosts[name]; h != nil {
				cl.dispatch(h, func(k *core.Core) { k.HandleDatagram(cl.now, fabricSourceAddr, data) })
			}
		})
	}
}

// openFlow starts a flow. Unless it is idle, it sends a segment at each
// segmentInterval until it breaks.
func (c *clients) openFlow(vip netip.AddrPort) *flow {
	c.lastPort++
	src := netip.AddrPortFrom(clientIP, c.lastPort)
	f := &flow{src: src, dst: vip, key: inner.NewKey(inner.TCP, src, vip), seq: c.cluster.rand.Uint32(), receivedAt: c.cluster.now}
	f.isn = f.seq
	c.flows[f.key] = f
	c.allFlows = append(c.allFlows, f)
	c.sendSegment(f)
	return f
}

// sendSegment sends the SYN, or a data segment once the flow is open, and
// schedules the next one.
func (c *clients) sendSegment(f *flow) {
	if f.broken || f.refused {
		return
	}
	if f.idle && f.sentData {
		return
	}
	seg := inner.Segment{Flags: inner.SYN, Seq: f.isn}
	if f.open {
		seg = inner.Segment{Flags: inner.ACK, Seq: f.seq + 1, Ack: 1, Payload: []byte("feed")}
		f.sentData = true
		// Without acknowledgements from the server, the client retransmits the
		// same segment.
		if f.silentSide != "server" {
			f.seq += 4
		}
	}
	if f.silentSide == "client" {
		return
	}
	c.sendViaFabric(inner.BuildTCP(f.src, f.dst, seg))
	span := segmentInterval
	if f.silentSide == "server" && !f.constantInterval {
		f.retransmissions++
		span = segmentInterval << min(f.retransmissions, 6)
	}
	c.cluster.queue.Add(c.cluster.now+span, func() { c.sendSegment(f) })
}

// flowOpened records that the SYN of a flow reached s.
func (c *clients) flowOpened(key inner.Key, s *server) {
	f := c.flows[key]
	if f == nil {
		return
	}
	if f.server != nil && f.server != s && f.open {
		c.breakFlow(f, fmt.Sprintf("opened on %s and on %s", f.server.name, s.name))
	}
	f.server, f.open, f.receivedAt = s, true, c.cluster.now
}

// segmentReceived records that a segment reached the server of its flow.
func (c *clients) segmentReceived(key inner.Key) {
	if f := c.flows[key]; f != nil {
		f.receivedAt = c.cluster.now
	}
}

// segmentMisrouted handles a segment that reached s, which doesn't know its flow.
func (c *clients) segmentMisrouted(key inner.Key, s *server, from netip.AddrPort) {
	if f := c.flows[key]; f != nil && f.open && f.server != s {
		c.breakFlow(f, fmt.Sprintf("belongs to %s and reached %s from %s", f.server.name, s.name, c.cluster.nameByAddr[from.String()]))
	}
}

// countNotReset counts the flows that are not yet reset at both ends.
func (c *clients) countNotReset(flows []*flow) int {
	n := 0
	for _, f := range flows {
		if !f.broken || f.server.flows[f.key] {
			n++
		}
	}
	return n
}

// flowReset records that a reset of a flow reached its server.
func (c *clients) flowReset(key inner.Key) {
	if f := c.flows[key]; f != nil {
		c.breakFlow(f, "reset")
	}
}

// serverFailed records that the server of a flow failed.
func (c *clients) serverFailed(key inner.Key) {
	if f := c.flows[key]; f != nil {
		f.mayBreak = true
	}
}

func (c *clients) breakFlow(f *flow, reason string) {
	if f.broken || f.refused {
		return
	}
	f.broken = true
	if !f.mayBreak {
		c.cluster.recordViolation("flow %s broke: %s", f.src, reason)
	}
}

// receive handles a packet that an entry host sent to a client.
func (c *clients) receive(data []byte) {
	var dec geneve.Decoder
	var parser inner.Parser
	var d geneve.Datagram
	var p inner.Packet
	if dec.Decode(data, &d) != nil || parser.Parse(d.Inner, &p) != nil {
		return
	}
	if p.Key.Proto() == inner.TCP {
		c.receiveSegment(&p)
		return
	}
	if a, err := envel.DecodeAnswer(p.Payload); err == nil {
		c.receiveAnswer(a)
	}
}

func (c *clients) receiveSegment(p *inner.Packet) {
	key := inner.NewKey(inner.TCP, p.Key.Dst(), p.Key.Src())
	f := c.flows[key]
	if f == nil || p.Flags&inner.RST == 0 {
		return
	}
	c.resets++
	if f.open {
		c.breakFlow(f, "reset by an entry host")
		return
	}
	f.refused = true
}

// homeOf returns the home of a request. The homes are those of the hosts that exist at
// the first call, and are not recomputed.
func (c *clients) homeOf(id string) string {
	var hosts []homes.Host
	for _, name := range c.cluster.hostNames() {
		hosts = append(hosts, homes.Host{Name: name, Serves: true})
	}
	if c.homeTable == nil {
		c.homeTable = homes.New(hosts)
	}
	key := ledger.Key{Service: "tickets", Client: clientIP, ID: id}
	return c.homeTable.Home(homes.Bucket(key.Hash()))
}

// sendRequest starts a request of at most maxTries tries.
func (c *clients) sendRequest(idempotent bool, maxTries uint32) *request {
	c.lastID++
	id := fmt.Sprintf("r%d", c.lastID)
	for c.onlyHome != "" && c.homeOf(id) != c.onlyHome {
		c.lastID++
		id = fmt.Sprintf("r%d", c.lastID)
	}
	r := &request{
		id: id, idempotent: idempotent, maxTries: maxTries,
		runsByTry: map[uint32]int{}, refusedTries: map[uint32]bool{}, startedAt: c.cluster.now, tryStartedAt: c.cluster.now,
	}
	c.requests[r.id] = r
	c.sendTry(r, 0)
	return r
}

// sendTry sends a try at each resendInterval until it has an answer or its time
// is up.
func (c *clients) sendTry(r *request, try uint32) {
	elapsed := c.cluster.now - r.tryStartedAt
	if r.try != try || r.outcome != 0 || elapsed >= tryTimeout {
		return
	}
	req := envel.Request{
		ID: r.id, Try: r.try, Idempotent: r.idempotent, Elapsed: elapsed, Timeout: tryTimeout - elapsed, Body: []byte(r.id),
	}
	src := netip.AddrPortFrom(clientIP, 999)
	c.sendViaFabric(inner.BuildUDP(src, requestVIP, envel.EncodeRequest(&req)))
	c.cluster.queue.Add(c.cluster.now+resendInterval, func() { c.sendTry(r, try) })
}

func (c *clients) receiveAnswer(answer *envel.Answer) {
	r := c.requests[answer.ID]
	if r == nil {
		c.cluster.recordViolation("answer to request %q, which no client sent", answer.ID)
		return
	}
	if answer.Outcome == envel.Answered && string(answer.Body) != "answer to "+r.id {
		c.cluster.recordViolation("request %s got the answer body %q", r.id, answer.Body)
	}
	if answer.Outcome == envel.NotRun {
		c.receiveRefusal(r, answer)
		return
	}
	if answer.Try != r.try || r.outcome != 0 {
		return
	}
	r.outcome, r.endedAt = answer.Outcome, c.cluster.now
	if answer.Outcome == envel.Answered {
		c.answered++
	} else {
		c.unknownOutcomes++
	}
}

// receiveRefusal handles a NotRun answer and schedules the next try, unless maxTries is
// reached.
func (c *clients) receiveRefusal(r *request, answer *envel.Answer) {
	if r.refusedTries[answer.Try] {
		return
	}
	r.refusedTries[answer.Try] = true
	c.refusals++
	if answer.Try == r.try {
		c.slowestRefusal = max(c.slowestRefusal, c.cluster.now-r.tryStartedAt)
	}
	if !r.idempotent && r.runsByTry[answer.Try] > 0 {
		c.cluster.recordViolation("request %s try %d was refused as not run, but had run", r.id, answer.Try)
	}
	if answer.Try != r.try || r.outcome != 0 {
		return
	}
	if r.try+1 >= r.maxTries {
		r.outcome, r.endedAt = envel.NotRun, c.cluster.now
		return
	}
	r.try++
	try := r.try
	r.tryStartedAt = c.cluster.now + answer.RetryAfter
	c.cluster.queue.Add(r.tryStartedAt, func() { c.sendTry(r, try) })
}

// requestRan records that s runs a try, and checks that a request that is not
// idempotent runs once at most and not after its refusal.
func (c *clients) requestRan(req *envel.Request, s *server) {
	r := c.requests[req.ID]
	if r == nil {
		c.cluster.recordViolation("%s ran request %q, which no client sent", s.name, req.ID)
		return
	}
	r.runs++
	r.runsByTry[req.Try]++
	if r.idempotent {
		return
	}
	if r.runs > 1 {
		c.cluster.recordViolation("request %s, not idempotent, ran %d times, last on %s", r.id, r.runs, s.name)
	}
	if r.refusedTries[req.Try] {
		c.cluster.recordViolation("request %s try %d ran on %s after it was refused as not run", r.id, req.Try, s.name)
	}
}

// homeDiedLate reports whether the home of a request died within detectBound
// before the deadline, so that no other host could detect it in time. The client
// then takes the outcome as unknown itself.
func (c *clients) homeDiedLate(r *request) bool {
	home, deadline := c.cluster.hosts[c.homeOf(r.id)], r.tryStartedAt+tryTimeout
	return !home.alive && home.diedAt <= deadline && deadline-home.diedAt < detectBound
}

// runAndVerify runs the cluster for span, and then checks that each request has
// a final answer and that no open flow is silent.
func (c *clients) runAndVerify(span clock.Millis) {
	c.cluster.run(span)
	for id, r := range c.requests {
		if r.outcome == 0 && c.cluster.now-r.tryStartedAt > tryTimeout+clock.Second && !c.homeDiedLate(r) {
			c.cluster.recordViolation("request %s got no final answer", id)
		}
	}
	for _, f := range c.allFlows {
		silence := c.cluster.now - f.receivedAt
		if f.open && !f.broken && !f.refused && !f.mayBreak && !f.idle && silence > 2*clock.Second {
			c.cluster.recordViolation("no segment of flow %s reached its server for %d ms", f.src, silence)
		}
	}
}
