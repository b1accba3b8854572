package yard

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/hash"
	"monsooncleat.example/monsooncleat/internal/base/timers"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

const (
	// callerWay and serverWay are delays of one way.
	callerWay = 2 * clock.Millis(1)
	serverWay = clock.Millis(1)
	// tickSpan is the pace of the hosts' periodic work.
	tickSpan = 100 * clock.Millis(1)
	// coldSpan and coldFactor are how long and how much a new server is slow.
	coldSpan   = 2 * clock.Second
	coldFactor = 1.6
	// workSpread is the standard deviation of the logarithm of work.
	workSpread = 0.5
	// responseSize is the length of a response in bytes.
	responseSize = 4000
)

var (
	longRoute  = netip.MustParseAddrPort("198.18.0.1:443")
	shortRoute = netip.MustParseAddrPort("198.18.0.1:80")
)

type yard struct {
	load    Load
	rand    *rand.Rand
	now     clock.Millis
	queue   timers.Queue[func()]
	hosts   []*host
	servers map[uint64]*server
	order   []*server
	port    uint32
	result  *Result
	number  uint64
}

type host struct {
	centre int
	core   *core.Core
}

// Run plays a load with a way of placing flows.
func Run(load Load, way choose.Settings, seed uint64) *Result {
	y := &yard{
		load: load, rand: rand.New(rand.NewPCG(seed, 7)), now: 1, servers: map[uint64]*server{}, result: newResult(),
	}
	for c := range load.Centres {
		for range load.Hosts {
			y.hosts = append(y.hosts, &host{c, core.New(core.Options{
				Centre: centreName(c), Choice: way, DefaultIdle: 15_000, MaxFlows: 100_000,
				Fleet: fleet.Options{SilentAfter: 1 << 60, ForgetAfter: 90_000, Follower: true},
			}, rand.New(rand.NewPCG(y.rand.Uint64(), 1)))})
		}
		for range load.Servers {
			y.addServer(c)
		}
	}
	y.announce(nil)
	y.start()
	for y.now < load.Span {
		if event, ok := y.queue.Due(y.now); ok {
			event()
			continue
		}
		y.now++
	}
	return y.result
}

func centreName(c int) string { return fmt.Sprintf("centre-%d", c) }

func (y *yard) after(span clock.Millis, event func()) { y.queue.Add(y.now+span, event) }

// start sets off the callers, the periodic work and the troubles of the load.
func (y *yard) start() {
	t := &routes.Table{Version: 1, Services: []string{"x"}, IdleTimeout: 12_000}
	for _, a := range []netip.AddrPort{longRoute, shortRoute} {
		t.Routes = append(t.Routes, routes.Route{
			Name: a.String(), Address: a, Timeout: 2000, Targets: []routes.Target{{Service: "x", Weight: 1}},
		})
	}
	for _, h := range y.hosts {
		h.core.Configure(y.now, t)
		y.tick(h)
	}
	if y.load.Share > 0 {
		y.share()
	}
	for c := range y.load.Centres {
		users := y.load.Users
		if c == 0 {
			users = int(float64(users) * (1 + y.load.Skew))
		}
		for range users {
			u := &caller{yard: y, centre: c, long: true}
			y.after(clock.Millis(y.rand.IntN(int(y.load.Think))), u.ask)
		}
		y.nextShort(c)
	}
	y.troubles()
}

func (y *yard) tick(h *host) {
	h.core.Tick(y.now)
	y.after(tickSpan, func() { y.tick(h) })
}

// share gives each host the loads of all others, as the control hosts do.
func (y *yard) share() {
	all := make([]choose.Shares, len(y.hosts))
	sum := choose.Shares{}
	for i, h := range y.hosts {
		all[i] = h.core.Loads()
		sum.Add(all[i])
	}
	y.after(y.load.Lag, func() { y.deliver(all, sum) })
	y.after(y.load.Share, y.share)
}

// deliver brings each host the sum of what the others had reported.
func (y *yard) deliver(all []choose.Shares, sum choose.Shares) {
	for i, h := range y.hosts {
		others := choose.Shares{}
		for t, s := range sum {
			own := all[i][t]
			others[t] = choose.Share{Busy: s.Busy - own.Busy, Flows: s.Flows - own.Flows}
		}
		h.core.Learn(y.now, &core.Update{Loads: others})
	}
}

// troubles sets off what the load has of crashes and replacements.
func (y *yard) troubles() {
	for i := range y.load.Crashed {
		s := y.order[(i*5)%len(y.order)]
		y.after(y.load.CrashAt, func() { s.crash() })
		y.after(y.load.CrashAt+y.load.Notice, func() { y.announce(map[string]bool{s.record.ID: true}) })
	}
	for i := range y.load.Replaced {
		old := y.order[(i*3)%len(y.order)]
		y.after(y.load.ReplaceAt+clock.Millis(i)*clock.Second, func() {
			fresh := y.addServer(old.centre)
			fresh.warmEnd = y.now + coldSpan
			fresh.record.WarmUp = coldSpan
			old.record.State, old.record.Seq, old.draining = fleet.Draining, 2, true
			y.after(y.load.Share, func() { y.announce(nil) })
		})
	}
}

// announce tells all hosts what servers there are and which are silent.
func (y *yard) announce(silent map[string]bool) {
	u := core.Update{}
	for _, s := range y.order {
		u.Servers = append(u.Servers, core.ServerNews{Record: s.record})
	}
	if silent != nil {
		u.Silence = func(id string) (bool, bool) { return silent[id], silent[id] }
	}
	for _, h := range y.hosts {
		h.core.Learn(y.now, &u)
	}
}

// cut reports whether two data centres are apart now.
func (y *yard) cut(a, b int) bool {
	inside := y.now >= y.load.CutAt && y.now < y.load.CutAt+y.load.CutFor
	return inside && a != b && (a == 0 || b == 0)
}

// route sends a packet of a caller through the entry host that its addresses map
// to.
func (y *yard) route(centre int, p core.Packet, from *flow) {
	y.after(callerWay, func() {
		at := int(hash.String(p.From.String()) % uint64(y.load.Hosts))
		h := y.hosts[centre*y.load.Hosts+at]
		a := h.core.Packet(y.now, &p, true)
		switch a.Verdict {
		case core.Forward:
			s := y.servers[a.Number]
			if !y.cut(centre, s.centre) {
				y.after(serverWay, func() { s.receive(p, a.Token, from) })
			}
		case core.Reset:
			y.after(callerWay, from.reset)
		case core.Drop:
		}
	})
}

// work draws the time of a request.
func (y *yard) work() clock.Millis {
	mean := float64(y.load.Work)
	w := mean * math.Exp(workSpread*y.rand.NormFloat64()-workSpread*workSpread/2)
	return clock.Millis(max(1, math.Round(w)))
}

// pace returns how much the callers send now, 1 outside of a burst.
func (y *yard) pace() float64 {
	if y.now >= y.load.BurstFrom && y.now < y.load.BurstTo {
		return y.load.Burst
	}
	return 1
}

func (y *yard) nextShort(centre int) {
	rate := y.load.Shorts
	if y.now >= y.load.BurstFrom && y.now < y.load.BurstTo {
		rate += y.load.BurstShorts
	}
	gap := y.rand.ExpFloat64() * float64(clock.Second) / rate
	y.after(clock.Millis(gap), func() {
		(&caller{yard: y, centre: centre}).ask()
		y.nextShort(centre)
	})
}
