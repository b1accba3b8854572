package record_test

import (
	"crypto/sha256"
	"fmt"
	"net/netip"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/dir/record"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// servers returns n servers of one service in 6 data centres.
func servers(n int) []msgs.ServerStatus {
	list := make([]msgs.ServerStatus, n)
	for i := range list {
		number := uint64(0x1a2b3c0000) + uint64(i)*0x10001
		list[i] = msgs.ServerStatus{Age: clock.Millis(i % 1200), Record: fleet.Record{
			ID: fmt.Sprintf("i-%010x", number), Number: number, Seq: uint64(i % 300), Service: "weigh-a7",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128, byte(i >> 8), byte(i)}), 8080),
			Centre:  fmt.Sprint("hall-", i%6), Slots: 2, State: fleet.Ready,
		}}
	}
	return list
}

func TestBlockReturnsItsServers(t *testing.T) {
	list := servers(20)
	list[1].Record.ID, list[1].Record.Number = "server seven", 7
	list[2].Record.Started, list[2].Silent = 1_700_000_000_123, true
	list[3].Ended, list[3].Record.State = true, fleet.Draining
	list[4].Record.Address = netip.MustParseAddrPort("[fd00::1]:443")
	list[5].Record = fleet.Record{ID: "i-00ff", Number: 255, State: fleet.Left}
	list[6].Record.ID, list[6].Record.Number = "i-0000000000000000000001", 1
	got, err := record.Decode(record.Append(nil, list), 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, fmt.Sprintf("%+v", got), qt.Equals, fmt.Sprintf("%+v", list))
	older, err := record.Decode(record.Append(nil, list), 40)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, older[7].Age, qt.Equals, list[7].Age+40)
}

// TestColdServersHaveABlockOfTheirOwnVersion guards against a block that builds without
// warm-ups would misread, and against a change of blocks without one.
func TestColdServersHaveABlockOfTheirOwnVersion(t *testing.T) {
	list := servers(20)
	before := record.Append(nil, list)
	// The digest was computed with the build before warm-ups.
	qt.Check(t, fmt.Sprintf("%x", sha256.Sum256(before)), qt.Equals, "856a1cf1203587dcb55de199128bb0d7308556b8eec886a4a09f13bd01fd2a4b")
	list[1].Record.Warmup = 29_500
	block := record.Append(nil, list)
	qt.Check(t, block[0], qt.Equals, byte(2))
	got, err := record.Decode(block, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, fmt.Sprintf("%+v", got), qt.Equals, fmt.Sprintf("%+v", list))
}

// TestEarlierBuildReadsTheRecordsOfServersWithAliases guards against a block of aliases that the build before, which
// takes them for a name, refuses or misreads.
func TestEarlierBuildReadsTheRecordsOfServersWithAliases(t *testing.T) {
	c := qt.New(t)
	list := servers(20)
	plain := record.Append(nil, list)
	list[3].Aliases = []fleet.Alias{{Started: 1_700_000_000_123, Age: 40}, {Started: -1}}
	list[19].Aliases = []fleet.Alias{{Age: 90_000}}
	block := record.Append(nil, list)
	got, err := record.Decode(block, 0)
	c.Assert(err, qt.IsNil)
	c.Check(fmt.Sprintf("%+v", got), qt.Equals, fmt.Sprintf("%+v", list))
	older, err := record.Decode(block, 25)
	c.Assert(err, qt.IsNil)
	c.Check(older[3].Aliases[0].Age, qt.Equals, clock.Millis(65))
	// All but the number of names and the additional name is the same.
	end := 2
	for range plain[1] {
		end += 1 + int(plain[end])
	}
	c.Check(block[:end], qt.DeepEquals, slices.Concat(plain[:1], []byte{plain[1] + 1}, plain[2:end]))
	c.Check(block[end+1+int(block[end]):], qt.DeepEquals, plain[end:])
	// An extension that this build does not know, and one of a record that doesn't exist.
	extended := func(name string) []byte {
		b := append(slices.Concat(plain[:1], []byte{plain[1] + 1}, plain[2:end]), byte(len(name)))
		return slices.Concat(b, []byte(name), plain[end:])
	}
	_, err = record.Decode(extended("\xffany"), 0)
	c.Check(err, qt.IsNil)
	_, err = record.Decode(extended("\x01\x14\x01\x00\x00"), 0)
	c.Check(err, qt.ErrorIs, record.ErrMalformed)
}

// TestRecordTakesFewBytes has the servers of one data centre, and of all, on a link that
// carries 250 bytes in a millisecond.
func TestRecordTakesFewBytes(t *testing.T) {
	for _, test := range []struct{ servers, most int }{{100, 2500}, {600, 14_000}} {
		got := len(record.Append(nil, servers(test.servers)))
		qt.Check(t, got <= test.most, qt.IsTrue, qt.Commentf("%d bytes for %d servers", got, test.servers))
	}
}

func TestDamagedBlockIsAnError(t *testing.T) {
	block := record.Append(nil, servers(3))
	_, err := record.Decode(nil, 0)
	qt.Check(t, err, qt.ErrorIs, record.ErrVersion)
	_, err = record.Decode(append([]byte{99}, block[1:]...), 0)
	qt.Check(t, err, qt.ErrorIs, record.ErrVersion)
	for n := 1; n < len(block); n++ {
		_, err := record.Decode(block[:n], 0)
		qt.Check(t, err, qt.ErrorIs, record.ErrMalformed, qt.Commentf("%d bytes", n))
	}
	_, err = record.Decode(append(block, 0), 0)
	qt.Check(t, err, qt.ErrorIs, record.ErrMalformed)
}

func FuzzDecode(f *testing.F) {
	f.Add(record.Append(nil, servers(3)))
	cold := servers(3)
	cold[1].Record.Warmup = 700
	f.Add(record.Append(nil, cold))
	restarted := servers(3)
	restarted[1].Aliases = []fleet.Alias{{Started: 5, Age: 700}}
	f.Add(record.Append(nil, restarted))
	f.Add([]byte{1, 255, 255, 255, 255, 15})
	f.Fuzz(func(t *testing.T, b []byte) {
		list, err := record.Decode(b, 0)
		if err != nil {
			return
		}
		again, err := record.Decode(record.Append(nil, list), 0)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, fmt.Sprintf("%+v", again), qt.Equals, fmt.Sprintf("%+v", list))
	})
}

func BenchmarkDecode600(b *testing.B) {
	block := record.Append(nil, servers(600))
	for b.Loop() {
		if _, err := record.Decode(block, 0); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAppend600(b *testing.B) {
	list := servers(600)
	for b.Loop() {
		_ = record.Append(nil, list)
	}
}
