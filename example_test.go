package monsooncleat_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"

	"monsooncleat.example/monsooncleat"
	"monsooncleat.example/monsooncleat/internal/agree/raft"
)

func ExampleNewPlacement() {
	p := monsooncleat.NewPlacement(4093, []monsooncleat.Backend{{Name: "s1", Weight: 1}, {Name: "s2", Weight: 3}})
	counts := map[string]int{}
	for key := range uint64(4093) {
		counts[p.Default(key)]++
	}
	fmt.Println(counts["s1"], counts["s2"])
	// Output: 1023 3070
}

func ExampleNewHomes() {
	h := monsooncleat.NewHomes([]monsooncleat.Host{{Name: "e1", Serves: true}, {Name: "e2", Serves: true}})
	const bucket = 7
	fmt.Println(h.Home(bucket) != h.Successor(bucket))
	// Output: true
}

func ExampleNewLedger() {
	l := monsooncleat.NewLedger(100)
	key := monsooncleat.RequestKey{Service: "tickets", Client: netip.MustParseAddr("192.0.2.1"), ID: "request-1"}
	l.Add(&monsooncleat.Request{Key: key}, 60_000)
	fmt.Println(l.Find(key) != nil)
	l.Expire(60_000)
	fmt.Println(l.Find(key) != nil)
	// Output:
	// true
	// false
}

func ExampleNewLog() {
	conf := monsooncleat.LogConf{Voters: []monsooncleat.LogID{"c1/disk"}}
	stored := monsooncleat.LogStored{Snapshot: raft.Snapshot{Index: 1, Term: 1, Conf: conf}}
	log := monsooncleat.NewLog("c1/disk", raft.DefaultTiming, stored, 0, rand.New(rand.NewPCG(1, 1)))
	// The only voter becomes leader once its election timeout has passed.
	log.Tick(5000)
	// The caller reports what it has written to disk.
	log.Persisted(monsooncleat.LogSynced{Last: monsooncleat.LogPosition{Index: log.Last(), Term: log.Term()}})
	index, term, err := log.Propose(5000, []byte("a command"))
	fmt.Println(index, err)
	log.Persisted(monsooncleat.LogSynced{Last: monsooncleat.LogPosition{Index: index, Term: term}})
	for _, e := range log.Take().Committed {
		fmt.Printf("%d %q\n", e.Index, e.Data)
	}
	// Output:
	// 3 <nil>
	// 2 ""
	// 3 "a command"
}
