package policy_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/hash"
	"monsooncleat.example/monsooncleat/internal/host/homes"
	"monsooncleat.example/monsooncleat/internal/serve/maglev"
)

const (
	hostCount     = 8
	serverCount   = 14
	flowCount     = 19_600 // 70% of 2,000 connections on each of 14 servers
	traceDuration = 120 * clock.Second
	// packetInterval is the time between two packets of a flow.
	packetInterval = 2 * clock.Second
	// Each host starts to use a new placement table within maxTableLag.
	maxTableLag      = clock.Second
	digestInterval   = clock.Second
	replicationDelay = 100 * clock.Millis(1)
	buckets          = 4093
	// loadBound limits the flows that a host opens on a server to this multiple
	// of the server's share.
	loadBound        = 1.06
	replicationRate  = 4000.0   // bytes per second and host
	replicationBurst = 32_000.0 // bytes per host
)

// Strategies of assigning flows to servers.
const (
	pureHashing           = "pure hashing"
	flowTablesWithDigests = "flow tables with digests"
	homesWithReplicas     = "homes with replicas"
)

// change is one event of the trace. If host is negative, server starts (up) or stops.
// Otherwise, host fails (fails) or starts.
type change struct {
	at     clock.Millis
	server string
	up     bool
	host   int
	fails  bool
}

// trace stops or starts a server every 10 s and a host every 15 s.
func trace() []change {
	var out []change
	for i := range 10 {
		at := clock.Millis(10+10*i) * clock.Second
		out = append(out, change{at: at, server: fmt.Sprintf("s%d", i%5), up: i%2 == 1, host: -1})
	}
	for i := range 6 {
		out = append(out, change{at: clock.Millis(12+15*i) * clock.Second, host: i, fails: i%2 == 0})
	}
	return out
}

// flow is one flow. It is an exception while its server differs from the default
// of the placement table.
type flow struct {
	key    uint64
	server string
	opened clock.Millis
	// recordedBy holds the hosts that have a record of the flow.
	recordedBy map[int]bool
	// replica is the successor that the record was copied to, or -1. The copy
	// arrives at replicaAt.
	replica   int
	replicaAt clock.Millis
	broken    bool
	// exceptionAt is when the other hosts know the flow as an exception, or 0.
	exceptionAt clock.Millis
}

// model simulates one strategy of assigning flows to servers.
type model struct {
	strategy string
	rand     *rand.Rand
	// tables holds the placement tables in order of time, and tableSince when
	// each of them was built.
	tables     []*maglev.Table
	tableSince []clock.Millis
	// tableLag holds how late each host gets a new table.
	tableLag []clock.Millis
	alive    []bool
	// hostChangedAt holds when each host last failed or started, or 0.
	hostChangedAt []clock.Millis
	homes         *homes.Table
	homesAt       clock.Millis
	// openedBy counts the flows that each host opened on each server.
	openedBy []map[string]int
	flows    []*flow
	// controlBytes counts the bytes of digests and replicas.
	controlBytes int
	// recordsAdded counts all records ever added, also those lost with a host.
	recordsAdded int
	// replicationBudget holds how many bytes each host may send at present in
	// replicateExceptions.
	replicationBudget []float64
}

// tableOf returns the placement table that a host uses at the given time.
func (m *model) tableOf(host int, now clock.Millis) *maglev.Table {
	for i := len(m.tables) - 1; i > 0; i-- {
		if m.tableSince[i]+m.tableLag[host] <= now {
			return m.tables[i]
		}
	}
	return m.tables[0]
}

func newModel(strategy string) *model {
	m := &model{strategy: strategy, rand: rand.New(rand.NewPCG(11, 3))}
	for range hostCount {
		m.alive = append(m.alive, true)
		m.hostChangedAt = append(m.hostChangedAt, 0)
		m.tableLag = append(m.tableLag, clock.Millis(m.rand.Int64N(int64(maxTableLag))))
		m.openedBy = append(m.openedBy, map[string]int{})
		m.replicationBudget = append(m.replicationBudget, replicationBurst)
	}
	return m
}

// buildTable builds the placement table over the servers that are up.
func (m *model) buildTable(up map[string]bool, now clock.Millis) {
	var backends []maglev.Backend
	for i := range serverCount {
		if name := fmt.Sprintf("s%d", i); up[name] {
			backends = append(backends, maglev.Backend{Name: name, Weight: 1})
		}
	}
	m.tables = append(m.tables, maglev.New(buckets, backends))
	m.tableSince = append(m.tableSince, now)
}

// rebuildHomes assigns the homes to the hosts that are alive.
func (m *model) rebuildHomes() {
	var hosts []homes.Host
	for i, alive := range m.alive {
		hosts = append(hosts, homes.Host{Name: fmt.Sprint(i), Serves: alive})
	}
	m.homes = homes.New(hosts)
}

// homeOf returns the home of a flow and the home's successor.
func (m *model) homeOf(f *flow) (home, successor int) {
	bucket := homes.Bucket(f.key)
	_, _ = fmt.Sscan(m.homes.Home(bucket), &home)
	_, _ = fmt.Sscan(m.homes.Successor(bucket), &successor)
	return home, successor
}

// randomLiveHost returns a random live host, as the network picks one for a packet.
func (m *model) randomLiveHost() int {
	for {
		if host := m.rand.IntN(hostCount); m.alive[host] {
			return host
		}
	}
}

// chooseBounded returns the first of the four choices of a key whose server is below
// its load bound on this host, or else the default server.
func (m *model) chooseBounded(host int, table *maglev.Table, key uint64) string {
	counts, total := m.openedBy[host], 0
	for _, n := range counts {
		total += n
	}
	for n := range 4 {
		i := table.Candidate(key, n)
		server := table.Backends()[i].Name
		if float64(counts[server]) < math.Ceil(loadBound*float64(total+1)*table.Share(i)) {
			return server
		}
	}
	return table.Default(key)
}

// forward delivers one packet of f through a random host.
func (m *model) forward(f *flow, now clock.Millis) {
	host := m.randomLiveHost()
	opens := f.server == ""
	switch m.strategy {
	case pureHashing:
		m.deliver(f, m.tableOf(host, now).Default(f.key), now)
	case flowTablesWithDigests:
		m.forwardByFlowTable(f, host, opens, now)
	default:
		m.forwardByHome(f, opens, now)
	}
}

// deliver sends a packet of f to a server. It marks the flow as broken if its
// first packet went to another server.
func (m *model) deliver(f *flow, server string, now clock.Millis) {
	if f.server == "" {
		f.server, f.opened = server, now
		return
	}
	if f.server != server {
		f.broken = true
	}
}

// Sizes of one exception in a digest and in a replica.
const (
	digestBytes  = 10
	replicaBytes = 32
)

// forwardByFlowTable forwards a packet by the flow table of the host that it
// reached. A host that has no record of the flow and no exception for it uses
// its placement table.
func (m *model) forwardByFlowTable(f *flow, host int, opens bool, now clock.Millis) {
	table := m.tableOf(host, now)
	if opens {
		m.deliver(f, m.chooseBounded(host, table, f.key), now)
		m.openedBy[host][f.server]++
		m.addRecord(f, host)
		if f.server != table.Default(f.key) {
			m.announceException(f, now)
		}
		return
	}
	// Records and exceptions name the server of the flow, so the packet reaches it.
	// Only the default case may deliver it to another server.
	switch {
	case f.recordedBy[host]:
	case f.exceptionAt > 0 && now >= f.exceptionAt:
		m.addRecord(f, host)
	default:
		m.deliver(f, table.Default(f.key), now)
		m.addRecord(f, host)
	}
	if f.exceptionAt == 0 && f.server != table.Default(f.key) {
		m.announceException(f, now)
	}
}

// addRecord adds a record of f to the flow table of a host.
func (m *model) addRecord(f *flow, host int) {
	if !f.recordedBy[host] {
		f.recordedBy[host] = true
		m.recordsAdded++
	}
}

// announceException sends an exception to all other hosts in the next digest.
func (m *model) announceException(f *flow, now clock.Millis) {
	f.exceptionAt = now + clock.Millis(m.rand.Int64N(int64(digestInterval)))
	m.controlBytes += digestBytes * (hostCount - 1)
}

// forwardByHome forwards a packet by the records of the flow's home.
func (m *model) forwardByHome(f *flow, opens bool, now clock.Millis) {
	home, successor := m.homeOf(f)
	table := m.tableOf(home, now)
	// Records and replicas name the server of the flow, so the packet reaches it. Only
	// the default case may deliver it to another server.
	switch {
	case opens:
		m.deliver(f, m.chooseBounded(home, table, f.key), now)
		m.openedBy[home][f.server]++
		m.addRecord(f, home)
	case f.recordedBy[home]:
	case f.replica >= 0 && m.alive[f.replica] && now >= f.replicaAt:
		// The home has the replica or fetches it from the host that has it.
		m.addRecord(f, home)
	case m.recordHolder(f) >= 0:
		// The new home fetches the record from a host that has it.
		m.addRecord(f, home)
	default:
		m.deliver(f, m.tableAtLastHostChange(now).Default(f.key), now)
		m.addRecord(f, home)
	}
	if f.server != table.Default(f.key) && f.replica != successor {
		m.replicate(f, successor, now)
	}
}

// replicate copies the record of f to the successor of its home.
func (m *model) replicate(f *flow, successor int, now clock.Millis) {
	f.replica, f.replicaAt = successor, now+replicationDelay
	m.controlBytes += replicaBytes
}

// replicateExceptions replicates the exceptions that their successors lack, as
// far as the replication budget of each home allows.
func (m *model) replicateExceptions(now, step clock.Millis) {
	for host := range m.replicationBudget {
		m.replicationBudget[host] = min(replicationBurst, m.replicationBudget[host]+replicationRate*float64(step)/1000)
	}
	for _, f := range m.flows {
		home, successor := m.homeOf(f)
		if !f.recordedBy[home] || f.replica == successor || m.replicationBudget[home] < replicaBytes {
			continue
		}
		if f.server != m.tableOf(home, now).Default(f.key) {
			m.replicationBudget[home] -= replicaBytes
			m.replicate(f, successor, now)
		}
	}
}

// tableAtLastHostChange returns the table that host 0 used when a host last
// failed or started. Homes moved at that time, so the former home placed flows
// without a record by this table.
func (m *model) tableAtLastHostChange(now clock.Millis) *maglev.Table {
	last := clock.Millis(0)
	for _, at := range m.hostChangedAt {
		last = max(last, at)
	}
	if last == 0 {
		last = now
	}
	return m.tableOf(0, last)
}

// recordHolder returns a live host that has a record of f, or -1.
func (m *model) recordHolder(f *flow) int {
	for host := range hostCount {
		if f.recordedBy[host] && m.alive[host] {
			return host
		}
	}
	return -1
}

// apply applies one change of the trace. A host that failed or started has no
// records.
func (m *model) apply(ch change, up map[string]bool) {
	if ch.host < 0 {
		up[ch.server] = ch.up
		m.buildTable(up, ch.at)
		return
	}
	m.alive[ch.host] = !ch.fails
	m.openedBy[ch.host] = map[string]int{}
	m.hostChangedAt[ch.host] = ch.at
	for _, f := range m.flows {
		delete(f.recordedBy, ch.host)
		if f.replica == ch.host {
			f.replica = -1
		}
	}
	m.rebuildHomes()
}

// run replays the trace. It returns the number of broken flows and the imbalance
// after 8 s, before the first change.
func (m *model) run() (broken int, imbalance float64) {
	up := map[string]bool{}
	for i := range serverCount {
		up[fmt.Sprintf("s%d", i)] = true
	}
	m.buildTable(up, 0)
	m.rebuildHomes()
	for i := range flowCount {
		m.flows = append(m.flows, &flow{key: hash.Mix(uint64(i), 99), recordedBy: map[int]bool{}, replica: -1})
	}
	changes := trace()
	// Each step sends a packet of every 20th flow.
	step := packetInterval / 20
	for now := clock.Millis(1); now < traceDuration; now += step {
		for len(changes) > 0 {
			earliest := 0
			for i := range changes {
				if changes[i].at < changes[earliest].at {
					earliest = i
				}
			}
			if changes[earliest].at > now {
				break
			}
			m.apply(changes[earliest], up)
			changes = append(changes[:earliest], changes[earliest+1:]...)
		}
		for i, f := range m.flows {
			if clock.Millis(i)%20 == now/step%20 && !f.broken {
				m.forward(f, now)
			}
		}
		if m.strategy == homesWithReplicas {
			m.replicateExceptions(now, step)
		}
		if now < 8*clock.Second {
			imbalance = m.imbalance()
		}
	}
	for _, f := range m.flows {
		if f.broken {
			broken++
		}
	}
	return broken, imbalance
}

// imbalance returns the ratio of the most flows on a server to the mean.
func (m *model) imbalance() float64 {
	counts, most, sum := map[string]int{}, 0, 0
	for _, f := range m.flows {
		if f.server != "" {
			counts[f.server]++
			sum++
		}
	}
	for _, n := range counts {
		most = max(most, n)
	}
	return float64(most) * float64(len(counts)) / float64(sum)
}

// recordBytes is the memory of one flow record, as the memory test of
// internal/entry/core measures it.
const recordBytes = 150

// TestHomesBreakFewerFlowsThanHashingAndNoMoreThanDigests checks that with homes and
// replicated exceptions, server and host changes break fewer flows than pure hashing
// does and at most as many as digests of exceptions do.
func TestHomesBreakFewerFlowsThanHashingAndNoMoreThanDigests(t *testing.T) {
	c := qt.New(t)
	broken := map[string]int{}
	for _, strategy := range []string{pureHashing, flowTablesWithDigests, homesWithReplicas} {
		m := newModel(strategy)
		n, imbalance := m.run()
		broken[strategy] = n
		perHost := float64(m.controlBytes) / float64(hostCount) / traceDuration.Duration().Seconds()
		t.Logf("measure: %-24s broken flows %5d of %d, imbalance %.3f, control traffic %7.0f bytes per second and host, memory %4.0f bytes per flow",
			strategy, n, flowCount, imbalance, perHost, float64(m.recordsAdded)*recordBytes/flowCount)
	}
	c.Check(broken[homesWithReplicas] <= broken[flowTablesWithDigests], qt.IsTrue)
	c.Check(broken[homesWithReplicas] < broken[pureHashing], qt.IsTrue)
}
