package core_test

import (
	"crypto/ed25519"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/chain"
	"monsooncleat.example/monsooncleat/internal/bundle/patch"
	"monsooncleat.example/monsooncleat/internal/bundle/sign"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
	"monsooncleat.example/monsooncleat/internal/entry/core"
	"monsooncleat.example/monsooncleat/internal/host/member"
	"monsooncleat.example/monsooncleat/internal/serve/roster"
	"monsooncleat.example/monsooncleat/internal/wire/geneve"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

const dataCentre = "oulu1"

var (
	fabricAddr = netip.MustParseAddrPort("127.0.0.1:6081")
	serverAddr = netip.MustParseAddrPort("127.0.0.1:6084")
)

// newSingleHost returns the core of the only entry host, which owns all keys.
// It has the given number of services, each with one address and the given
// number of servers.
func newSingleHost(tb testing.TB, services, servers int) *core.Core {
	return newSingleHostOf(tb, bundleText(services), services, servers, 2_000_000)
}

// newSingleHostOf returns the same with the given bundle and limit of flows.
func newSingleHostOf(tb testing.TB, text string, services, servers, maxFlows int) *core.Core {
	seed := sha256.Sum256([]byte("test operator"))
	private := ed25519.NewKeyFromSeed(seed[:])
	public, _ := private.Public().(ed25519.PublicKey)
	c := core.New(core.Options{
		Name: "e1", Centre: dataCentre, Boot: 1, Fabric: "127.0.0.1:6081", Peer: "127.0.0.1:6082",
		Answers: netip.MustParseAddrPort("127.0.0.1:6083"), Keys: sign.Keyring{"matti": public},
		MaxFlows: maxFlows, MaxRequests: 1000, Timing: member.DefaultTiming,
	}, 1, rand.New(rand.NewPCG(1, 1)))
	release := chain.Release{Centre: dataCentre, Seq: 1, Version: 1, Digest: spec.DigestOf(text), Operator: "matti"}
	release.Signature = ed25519.Sign(private, sign.ApprovalMessage(release.Version, release.Digest))
	release.Hash = release.Sum()
	update := &chain.Update{Releases: []chain.Release{release}, Patch: patch.Make("", text)}
	if err := c.Restore(update); err != nil {
		tb.Fatal(err)
	}
	c.Tick(2)
	c.ClearOutput()
	for s := range services {
		for i := range servers {
			c.HandleAnnouncement(2, &roster.Announcement{
				Name: fmt.Sprintf("s%d-%d", s, i), Service: fmt.Sprintf("service%d", s),
				Address: serverAddr.String(), Start: 1, Weight: 1, Connections: 1_000_000,
			})
		}
	}
	c.ClearOutput()
	return c
}

func serviceAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443)
}

func bundleText(services int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version = 1\n[[dataCentre]]\nname = %q\n", dataCentre)
	for i := range services {
		fmt.Fprintf(&b, "[[service]]\nname = \"service%d\"\nkind = \"stream\"\nprotocol = \"tcp\"\naddresses = [%q]\n[service.limits]\nconnections = 1000000\n", i, serviceAddr(i))
	}
	return b.String()
}

func clientAddr(i int) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{10, byte(i >> 20), byte(i >> 12), byte(i >> 4)})
	return netip.AddrPortFrom(ip, uint16(1024+i&15))
}

func syn(i int) []byte {
	return geneve.Append(nil, inner.BuildTCP(clientAddr(i), serviceAddr(0), inner.Segment{Flags: inner.SYN, Seq: 1}), nil)
}

func BenchmarkKnownFlow(b *testing.B) {
	c := newSingleHost(b, 1, 14)
	const flows = 500_000
	for i := range flows {
		c.HandleDatagram(3, fabricAddr, syn(i))
		c.ClearOutput()
	}
	var packets [][]byte
	for i := range 1024 {
		// The sequence numbers change from round to round, because a flow is
		// reset after several identical segments.
		// The factor 977 spreads the 512 flows over all 500,000.
		seg := inner.Segment{Flags: inner.ACK, Seq: uint32(2 + i/512), Ack: 1, Payload: make([]byte, 200)}
		packets = append(packets, geneve.Append(nil, inner.BuildTCP(clientAddr(i%512*977), serviceAddr(0), seg), nil))
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		c.HandleDatagram(4, fabricAddr, packets[n&1023])
		n++
		c.ClearOutput()
	}
}

func BenchmarkNewFlow(b *testing.B) {
	c := newSingleHost(b, 1, 14)
	var packets [][]byte
	for i := range 1_000_000 {
		packets = append(packets, syn(i))
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		if n == len(packets) {
			b.StopTimer()
			c = newSingleHost(b, 1, 14)
			n = 0
			b.StartTimer()
		}
		c.HandleDatagram(4, fabricAddr, packets[n])
		n++
		c.ClearOutput()
	}
}

// BenchmarkTick measures the periodic work by the number of flows.
func BenchmarkTick(b *testing.B) {
	for _, flows := range []int{0, 27_000, 500_000} {
		b.Run(fmt.Sprintf("flows=%d", flows), func(b *testing.B) {
			c := newSingleHost(b, 1, 14)
			for i := range flows {
				c.HandleDatagram(3, fabricAddr, syn(i))
				c.ClearOutput()
			}
			now := clock.Millis(100)
			b.ReportAllocs()
			for b.Loop() {
				now++
				c.Tick(now)
				c.PendingOutput()
				c.ClearOutput()
			}
		})
	}
}

// BenchmarkServerChange measures the rebuild of the tables after one server of
// one service changed, by the number of services and servers.
func BenchmarkServerChange(b *testing.B) {
	for _, size := range [][2]int{{4, 14}, {80, 3}, {317, 3}, {1900, 3}} {
		b.Run(fmt.Sprintf("services=%d,servers=%d", size[0], size[0]*size[1]), func(b *testing.B) {
			c := newSingleHost(b, size[0], size[1])
			weight := uint32(1)
			for b.Loop() {
				weight++
				c.HandleAnnouncement(4, &roster.Announcement{
					Name: "s0-0", Service: "service0", Address: "127.0.0.1:6084", Start: 1, Weight: weight, Connections: 1_000_000,
				})
				c.ClearOutput()
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestFlowTakesAtMost200Bytes checks that with up to 500,000 flows each takes at
// most 200 bytes of heap. At 393,217 flows the index of the flow table has just
// doubled, which is the least favourable size.
func TestFlowTakesAtMost200Bytes(t *testing.T) {
	c := qt.New(t)
	host := newSingleHost(t, 1, 14)
	baseline := heapBytes()
	maxBytes := 0.0
	for i := range 500_000 {
		host.HandleDatagram(3, fabricAddr, syn(i))
		host.ClearOutput()
		if n := host.Flows(); n == 27_000 || n == 100_000 || n == 393_217 || n == 500_000 {
			bytesPerFlow := float64(heapBytes()-baseline) / float64(n)
			maxBytes = max(maxBytes, bytesPerFlow)
			t.Logf("measure: %d flows take %.0f bytes each", n, bytesPerFlow)
		}
	}
	c.Check(host.Flows(), qt.Equals, 500_000)
	c.Check(maxBytes <= 200, qt.IsTrue)
	runtime.KeepAlive(host)
}

// TestLogHeapBytesOfServices logs the heap that the services of a bundle and
// their servers take on one host.
func TestLogHeapBytesOfServices(t *testing.T) {
	for _, size := range [][2]int{{4, 14}, {80, 3}, {317, 3}, {1900, 3}} {
		before := heapBytes()
		host := newSingleHost(t, size[0], size[1])
		after := heapBytes()
		t.Logf("measure: %d services with %d servers take %.2f MB, the bundle's text %.1f kB",
			size[0], size[0]*size[1], float64(after-before)/1e6, float64(len(bundleText(size[0])))/1e3)
		runtime.KeepAlive(host)
	}
}
