package batch_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/entry/batch"
	"monsooncleat.example/monsooncleat/internal/flow/table"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

func key(port uint16) inner.Key {
	packet := inner.BuildTCP(netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), port), netip.MustParseAddrPort("198.18.0.1:443"), inner.Segment{Flags: inner.SYN})
	var parser inner.Parser
	var p inner.Packet
	if err := parser.Parse(packet, &p); err != nil {
		panic(err)
	}
	return p.Key
}

// TestBudgetBoundsReplication replicates many flows at once. No more than the burst and
// what the rate adds may leave, and the rest must follow later.
func TestBudgetBoundsReplication(t *testing.T) {
	interner := table.NewInterner()
	items := 0
	r := batch.New("h1", interner, func(_ string, f *batch.Frame) {
		items += len(f.Items)
		qt.Check(t, len(f.Items) <= 64, qt.IsTrue)
		qt.Check(t, f.Names, qt.DeepEquals, []string{"service", "server"})
	})
	flow := &table.Record{Key: key(1), Service: interner.ID("service"), Server: interner.ID("server")}
	r.RestartSweep()
	left := 3000
	for now := clock.Millis(10_000); left > 0 && now < 100_000; now += 1000 {
		r.Begin(now)
		for left > 0 && r.TakeBudget() {
			r.Add("h2", flow)
			left--
		}
		r.Flush()
		r.SweepDone()
		qt.Check(t, r.Idle(), qt.Equals, left == 0)
		qt.Check(t, 32*items <= 32_000+4*int(now-10_000), qt.IsTrue, qt.Commentf("%d flows at %d", items, now))
	}
	qt.Check(t, left, qt.Equals, 0)
	qt.Check(t, items, qt.Equals, 3000)
}

// TestFramesWithAndWithoutAddresses guards against frames that the build before, which
// sends no addresses, can't read, and against its frames.
func TestFramesWithAndWithoutAddresses(t *testing.T) {
	interner := table.NewInterner()
	var got *batch.Frame
	r := batch.New("h1", interner, func(_ string, f *batch.Frame) { got = f })
	for _, address := range []string{"", "10.0.0.1:9", "10.0.0.2:9"} {
		r.Begin(1)
		r.Add("h2", &table.Record{Key: key(1), Service: interner.ID("service"), Server: interner.ID("server"), Address: interner.ID(address)})
		r.Add("h2", &table.Record{Key: key(2), Service: interner.ID("service"), Server: interner.ID("other")})
		r.Flush()
		for i, name := range []string{"server", "other"} {
			qt.Check(t, got.Names[got.Items[i].Service], qt.Equals, "service")
			qt.Check(t, got.Names[got.Items[i].Server], qt.Equals, name)
		}
		qt.Check(t, got.Address(got.Items[0].Server), qt.Equals, address)
		qt.Check(t, got.Address(got.Items[1].Server), qt.Equals, "")
	}
	old := &batch.Frame{Names: []string{"service", "@server", "server", "@"}}
	for i := range old.Names {
		qt.Check(t, old.Address(i), qt.Equals, "")
	}
}

func TestFullQueueRequiresASweep(t *testing.T) {
	r := batch.New("h1", table.NewInterner(), func(string, *batch.Frame) {})
	qt.Check(t, r.Idle(), qt.IsTrue)
	for port := range uint16(2000) {
		r.Enqueue(key(port + 1))
	}
	qt.Check(t, r.SweepPending(), qt.IsTrue)
	queued := r.Begin(1)
	qt.Check(t, queued, qt.HasLen, 1024)
	qt.Check(t, queued[0], qt.Equals, key(1))
	r.SweepDone()
	qt.Check(t, r.Idle(), qt.IsTrue)
	r.Enqueue(key(5))
	r.Reset()
	qt.Check(t, r.Idle(), qt.IsTrue)
}
