package ways_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/hash"
	"monsooncleat.example/monsooncleat/internal/host/homes"
	"monsooncleat.example/monsooncleat/internal/serve/place"
)

const (
	hostCount  = 8
	servers    = 14
	flowCount  = 19_600
	span       = 120 * clock.Second
	feed       = 2 * clock.Second
	gossipLag  = clock.Second
	digestSpan = clock.Second
	copyLag    = 100 * clock.Millis(1)
	buckets    = 4093
	bound      = 1.06
	copyRate   = 4000.0
	copyBurst  = 32_000.0
	homesWay   = "homes and exceptions"
)

// change is one event of the trace.
type change struct {
	at     clock.Millis
	server string
	up     bool
	host   int
	dies   bool
}

// trace changes the servers every 10 s and the hosts every 15 s.
func trace() []change {
	var out []change
	for i := range 10 {
		at := clock.Millis(10+10*i) * clock.Second
		out = append(out, change{at: at, server: fmt.Sprintf("s%d", i%5), up: i%2 == 1, host: -1})
	}
	for i := range 6 {
		out = append(out, change{at: clock.Millis(12+15*i) * clock.Second, host: i, dies: i%2 == 0})
	}
	return out
}

type flow struct {
	key    uint64
	server string
	opened clock.Millis
	// known lists the hosts that hold the flow, and copied the successor that
	// has its copy and since when.
	known    map[int]bool
	copied   int
	copiedAt clock.Millis
	broken   bool
	// digestAt is when the other hosts know the flow as an exception.
	digestAt clock.Millis
}

// model is a way of placing flows in a shared world of views.
type model struct {
	name    string
	rand    *rand.Rand
	tables  []*place.Table
	since   []clock.Millis
	lag     []clock.Millis
	alive   []bool
	deadAt  []clock.Millis
	homes   *homes.Table
	homesAt clock.Millis
	counts  []map[string]int
	flows   []*flow
	bytes   int
	records int
	budget  []float64
}

func (m *model) tableOf(host int, now clock.Millis) *place.Table {
	for i := len(m.tables) - 1; i > 0; i-- {
		if m.since[i]+m.lag[host] <= now {
			return m.tables[i]
		}
	}
	return m.tables[0]
}

func newModel(name string) *model {
	m := &model{name: name, rand: rand.New(rand.NewPCG(11, 3))}
	for range hostCount {
		m.alive = append(m.alive, true)
		m.deadAt = append(m.deadAt, 0)
		m.lag = append(m.lag, clock.Millis(m.rand.Int64N(int64(gossipLag))))
		m.counts = append(m.counts, map[string]int{})
		m.budget = append(m.budget, copyBurst)
	}
	return m
}

func (m *model) build(up map[string]bool, now clock.Millis) {
	var backends []place.Backend
	for i := range servers {
		if name := fmt.Sprintf("s%d", i); up[name] {
			backends = append(backends, place.Backend{Name: name, Weight: 1})
		}
	}
	m.tables = append(m.tables, place.New(buckets, backends))
	m.since = append(m.since, now)
}

// viewHosts rebuilds the homes by the hosts that are known to live.
func (m *model) viewHosts() {
	var hosts []homes.Host
	for i, alive := range m.alive {
		hosts = append(hosts, homes.Host{Name: fmt.Sprint(i), Serves: alive})
	}
	m.homes = homes.New(hosts)
}

func (m *model) home(f *flow) (home, next int) {
	b := homes.Bucket(f.key)
	_, _ = fmt.Sscan(m.homes.Home(b), &home)
	_, _ = fmt.Sscan(m.homes.Next(b), &next)
	return home, next
}

func (m *model) liveHost() int {
	for {
		if h := m.rand.IntN(hostCount); m.alive[h] {
			return h
		}
	}
}

// bounded returns the default, or a later choice when the default has more
// than its share at this host.
func (m *model) bounded(host int, t *place.Table, key uint64) string {
	counts, total := m.counts[host], 0
	for _, n := range counts {
		total += n
	}
	for n := range 4 {
		i := t.Choice(key, n)
		name := t.Backends()[i].Name
		if float64(counts[name]) < math.Ceil(bound*float64(total+1)*t.Share(i)) {
			return name
		}
	}
	return t.Default(key)
}

// packet brings one packet of f and reports where it goes.
func (m *model) packet(f *flow, now clock.Millis) {
	host := m.liveHost()
	opens := f.server == ""
	switch m.name {
	case "pure hashing":
		m.to(f, m.tableOf(host, now).Default(f.key), now)
	case "learning with digests":
		m.learn(f, host, opens, now)
	default:
		m.atHome(f, opens, now)
	}
}

func (m *model) to(f *flow, server string, now clock.Millis) {
	if f.server == "" {
		f.server, f.opened = server, now
		return
	}
	if f.server != server {
		f.broken = true
	}
}

// digestBytes is what one exception takes in a digest, and copyBytes in a copy.
const (
	digestBytes = 10
	copyBytes   = 32
)

func (m *model) learn(f *flow, host int, opens bool, now clock.Millis) {
	t := m.tableOf(host, now)
	if opens {
		m.to(f, m.bounded(host, t, f.key), now)
		m.counts[host][f.server]++
		m.remember(f, host)
		if f.server != t.Default(f.key) {
			m.digest(f, now)
		}
		return
	}
	switch {
	case f.known[host]:
	case f.digestAt > 0 && now >= f.digestAt:
		m.remember(f, host)
	default:
		m.to(f, t.Default(f.key), now)
		m.remember(f, host)
	}
	if f.digestAt == 0 && f.server != t.Default(f.key) {
		m.digest(f, now)
	}
}

func (m *model) remember(f *flow, host int) {
	if !f.known[host] {
		f.known[host] = true
		m.records++
	}
}

// digest tells all other hosts of an exception with the next digest.
func (m *model) digest(f *flow, now clock.Millis) {
	f.digestAt = now + clock.Millis(m.rand.Int64N(int64(digestSpan)))
	m.bytes += digestBytes * (hostCount - 1)
}

func (m *model) atHome(f *flow, opens bool, now clock.Millis) {
	home, next := m.home(f)
	t := m.tableOf(home, now)
	switch {
	case opens:
		m.to(f, m.bounded(home, t, f.key), now)
		m.counts[home][f.server]++
		m.remember(f, home)
	case f.known[home]:
	case f.copied >= 0 && m.alive[f.copied] && now >= f.copiedAt:
		// The home holds the copy, or asks its successor that does.
		m.remember(f, home)
	case m.anyHolder(f) >= 0:
		// The new home asks the one that holds the flow.
		m.remember(f, home)
	default:
		m.to(f, m.before(now).Default(f.key), now)
		m.remember(f, home)
	}
	if f.server != t.Default(f.key) && f.copied != next {
		m.copy(f, next, now)
	}
}

func (m *model) copy(f *flow, next int, now clock.Millis) {
	f.copied, f.copiedAt = next, now+copyLag
	m.bytes += copyBytes
}

// sweep lets each home copy the exceptions that it holds to its successors, as
// far as its budget goes.
func (m *model) sweep(now, step clock.Millis) {
	for h := range m.budget {
		m.budget[h] = min(copyBurst, m.budget[h]+copyRate*float64(step)/1000)
	}
	for _, f := range m.flows {
		home, next := m.home(f)
		if !f.known[home] || f.copied == next || m.budget[home] < copyBytes {
			continue
		}
		if f.server != m.tableOf(home, now).Default(f.key) {
			m.budget[home] -= copyBytes
			m.copy(f, next, now)
		}
	}
}

// before returns the table that was in force at the latest loss of a host.
func (m *model) before(now clock.Millis) *place.Table {
	last := clock.Millis(0)
	for _, at := range m.deadAt {
		last = max(last, at)
	}
	if last == 0 {
		last = now
	}
	return m.tableOf(0, last)
}

func (m *model) anyHolder(f *flow) int {
	for h := range hostCount {
		if f.known[h] && m.alive[h] {
			return h
		}
	}
	return -1
}

func (m *model) apply(ch change, up map[string]bool) {
	if ch.host < 0 {
		up[ch.server] = ch.up
		m.build(up, ch.at)
		return
	}
	m.alive[ch.host] = !ch.dies
	m.counts[ch.host] = map[string]int{}
	m.deadAt[ch.host] = ch.at
	for _, f := range m.flows {
		delete(f.known, ch.host)
		if f.copied == ch.host {
			f.copied = -1
		}
	}
	m.viewHosts()
}

// run plays the trace and returns the broken flows and the imbalance.
func (m *model) run() (broken int, imbalance float64) {
	up := map[string]bool{}
	for i := range servers {
		up[fmt.Sprintf("s%d", i)] = true
	}
	m.build(up, 0)
	m.viewHosts()
	for i := range flowCount {
		m.flows = append(m.flows, &flow{key: hash.Mix(uint64(i), 99), known: map[int]bool{}, copied: -1})
	}
	changes := trace()
	step := feed / 20
	for now := clock.Millis(1); now < span; now += step {
		for len(changes) > 0 {
			first := 0
			for i := range changes {
				if changes[i].at < changes[first].at {
					first = i
				}
			}
			if changes[first].at > now {
				break
			}
			m.apply(changes[first], up)
			changes = append(changes[:first], changes[first+1:]...)
		}
		for i, f := range m.flows {
			if clock.Millis(i)%20 == now/step%20 && !f.broken {
				m.packet(f, now)
			}
		}
		if m.name == homesWay {
			m.sweep(now, step)
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

// recordBytes is what one flow record takes, by TestBytesPerFlow of the entry
// core.
const recordBytes = 150

func TestCompareWays(t *testing.T) {
	c := qt.New(t)
	broken := map[string]int{}
	for _, name := range []string{"pure hashing", "learning with digests", homesWay} {
		m := newModel(name)
		n, imbalance := m.run()
		broken[name] = n
		perHost := float64(m.bytes) / float64(hostCount) / span.Duration().Seconds()
		t.Logf("measure: %-22s broken flows %5d of %d, imbalance %.3f, control %7.0f bytes a second for a host, memory %4.0f bytes a flow",
			name, n, flowCount, imbalance, perHost, float64(m.records)*recordBytes/flowCount)
	}
	c.Check(broken[homesWay] <= broken["learning with digests"], qt.IsTrue)
	c.Check(broken[homesWay] < broken["pure hashing"], qt.IsTrue)
}
