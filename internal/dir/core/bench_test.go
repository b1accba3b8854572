package core_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/dir/core"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/serve/tokens"
)

const centres = 6

func centreName(i int) string { return fmt.Sprint("hall-", i%centres) }

func serverID(i int) (id string, number uint64) {
	number = 0x1a2b3c0000 + uint64(i)*0x10001
	return fmt.Sprintf("i-%010x", number), number
}

// newControlHost returns the only control host of a system with servers and a routing
// table of 43 routes.
func newControlHost(b testing.TB, servers int) *core.Core {
	const id = raft.ID("10.0.0.1:7000/founder")
	c := core.New(core.Options{
		ID: id, Founders: []raft.ID{id}, Seeds: []string{"10.0.0.1:7000"}, RunID: 7,
		Timing: raft.Timing{Heartbeat: 150, Election: 600}, EvictAfter: clock.Minute,
		Fleet: fleet.Options{SilentAfter: 3600, ForgetAfter: 90_000, ReuseAfter: 2000},
	}, raft.Stored{}, 0, rand.New(rand.NewPCG(1, 2)))
	now := clock.Millis(0)
	step := func() {
		now += 50
		c.Tick(now)
		if out := c.Take(); len(out.Entries) > 0 {
			c.Persisted(now, out.Synced())
			c.Take()
		}
	}
	for now < 3000 {
		step()
	}
	table := routes.Table{Version: 1, Services: []string{"weigh-a7"}}
	for i := range 43 {
		table.Routes = append(table.Routes, routes.Route{
			Name: fmt.Sprint("r-", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(i)}), 443), Timeout: 4000,
			Targets: []routes.Target{{Service: "weigh-a7", Weight: 1}},
		})
	}
	c.Publish(now, 1, &msgs.Publication{Table: table})
	step()
	step()
	for i := range servers {
		id, number := serverID(i)
		c.Announce(now, core.CallID(i+2), fleet.Record{
			ID: id, Number: number, Seq: 1, Service: "weigh-a7", Centre: centreName(i), Slots: 2, State: fleet.Ready,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128, byte(i >> 8), byte(i)}), 8080),
		})
	}
	c.Take()
	if c.Version() != 1 {
		b.Fatalf("table is not in force: version %d", c.Version())
	}
	return c
}

// hostLoads returns the loads that an entry host reports: on some servers of its data
// centre.
func hostLoads(host, servers int) choose.Loads {
	l := choose.Loads{}
	for n := range 30 {
		i := (host%centres + centres*(host*7+n*3)) % servers
		id, _ := serverID(i)
		l[uint32(tokens.Candidate(id, 0, 0))] = choose.Load{InFlight: 0.25, Flows: 1}
	}
	return l
}

// benchmarkPoll measures the polls of entry hosts that have everything but the loads,
// as encoded messages.
func benchmarkPoll(b *testing.B, servers, hosts int) {
	c := newControlHost(b, servers)
	now := clock.Millis(3200)
	fetches := make([]*msgs.Fetch, hosts)
	bytesOut := 0
	handle := func(m *msgs.Fetch) *msgs.FetchReply {
		decoded, err := msgs.Decode(msgs.Encode(&msgs.Envelope{Fetch: m}))
		if err != nil {
			b.Fatal(err)
		}
		c.HandleMessage(now, 1, decoded)
		body := c.Take().Replies[0].Body
		bytesOut += len(body)
		reply, err := msgs.Decode(body)
		if err != nil {
			b.Fatal(err)
		}
		return reply.FetchReply
	}
	for i := range fetches {
		m := &msgs.Fetch{Name: fmt.Sprint("e", i), Centre: centreName(i), Form: msgs.BlockForm, Loads: hostLoads(i, servers)}
		r := handle(m)
		m.RunID, m.Since, m.Version, m.SilentVersion, m.HostsVersion = r.RunID, r.Position, r.Version, r.SilentVersion, r.HostsVersion
		fetches[i] = m
	}
	encoded := make([][]byte, hosts)
	for i, m := range fetches {
		encoded[i] = msgs.Encode(&msgs.Envelope{Fetch: m})
	}
	bytesOut = 0
	b.ResetTimer()
	for n := 0; b.Loop(); n++ {
		if n%hosts == 0 {
			now += 300
		}
		m, err := msgs.Decode(encoded[n%hosts])
		if err != nil {
			b.Fatal(err)
		}
		c.HandleMessage(now, 1, m)
		bytesOut += len(c.Take().Replies[0].Body)
	}
	b.ReportMetric(float64(bytesOut)/float64(b.N), "B/reply")
}

func BenchmarkPoll600Servers49Hosts(b *testing.B)   { benchmarkPoll(b, 600, 49) }
func BenchmarkPoll600Servers294Hosts(b *testing.B)  { benchmarkPoll(b, 600, 294) }
func BenchmarkPoll5800Servers122Hosts(b *testing.B) { benchmarkPoll(b, 5800, 122) }

// BenchmarkFirstFetch600Servers measures the reply to an entry host that starts.
func BenchmarkFirstFetch600Servers(b *testing.B) {
	c := newControlHost(b, 600)
	fetch := msgs.Encode(&msgs.Envelope{Fetch: &msgs.Fetch{Name: "e", Centre: centreName(0), Form: msgs.BlockForm, Part: msgs.LocalPart}})
	size := 0
	for b.Loop() {
		m, err := msgs.Decode(fetch)
		if err != nil {
			b.Fatal(err)
		}
		c.HandleMessage(3200, 1, m)
		size = len(c.Take().Replies[0].Body)
	}
	b.ReportMetric(float64(size), "B/reply")
}
