package write_test

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/agree/disk"
	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/agree/write"
)

// randomBatches returns batches that a node might write: entries, truncations by a later term,
// compactions and installed snapshots.
func randomBatches(r *rand.Rand) []write.Batch {
	batches := make([]write.Batch, 20)
	state, snapshot, last := raft.HardState{Term: 1}, uint64(0), uint64(0)
	for i := range batches {
		b := &batches[i]
		switch r.IntN(8) {
		case 0:
			last += 5
			snapshot = last
			b.Install = &raft.Snapshot{Index: last, Term: state.Term}
		case 1:
			state.Term++
			last = snapshot + uint64(r.Int64N(int64(last-snapshot)+1))
		}
		if r.IntN(2) == 0 {
			stored := state
			b.State = &stored
		}
		for range r.IntN(4) {
			last++
			b.Entries = append(b.Entries, raft.Entry{Index: last, Term: state.Term, Data: []byte{byte(i)}})
		}
		if n := len(b.Entries); n > 0 && r.IntN(6) == 0 {
			snapshot = b.Entries[0].Index
			b.Snapshot = &raft.Snapshot{Index: snapshot, Term: state.Term}
			b.Retained = b.Entries[1:]
		}
	}
	return batches
}

// stored writes batches and returns what the next start reads.
func stored(c *qt.C, batches []write.Batch) raft.Stored {
	folder := c.TempDir()
	s, _, err := disk.Open(folder)
	c.Assert(err, qt.IsNil)
	for i := range batches {
		c.Assert(s.SaveBatch(&batches[i]), qt.IsNil)
	}
	c.Assert(s.Close(), qt.IsNil)
	s, out, err := disk.Open(folder)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)
	return out
}

// TestMergedBatchesAreStoredLikeSingleOnes guards against entries, terms or snapshots that are
// lost because batches are written with one sync.
func TestMergedBatchesAreStoredLikeSingleOnes(t *testing.T) {
	c := qt.New(t)
	merges := 0
	for seed := range uint64(8) {
		batches := randomBatches(rand.New(rand.NewPCG(seed, 1)))
		merged := []write.Batch{{}}
		for _, b := range randomBatches(rand.New(rand.NewPCG(seed, 1))) {
			if merged[len(merged)-1].Merge(&b) {
				merges++
			} else {
				merged = append(merged, b)
			}
		}
		c.Assert(stored(c, merged), qt.DeepEquals, stored(c, batches), qt.Commentf("seed %d", seed))
		for i := range merged {
			last := merged[i].Synced().Last
			if n := len(merged[i].Entries); n > 0 {
				c.Assert(last, qt.Equals, raft.Position{Index: merged[i].Entries[n-1].Index, Term: merged[i].Entries[n-1].Term})
			}
		}
	}
	c.Check(merges > 0, qt.IsTrue)
}
