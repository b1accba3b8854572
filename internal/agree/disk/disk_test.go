package disk_test

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/agree/disk"
	"monsooncleat.example/monsooncleat/internal/agree/raft"
)

// entries returns commands of term 2 with indexes in [from, to].
func entries(from, to uint64) []raft.Entry {
	var out []raft.Entry
	for i := from; i <= to; i++ {
		out = append(out, raft.Entry{Index: i, Term: 2, Kind: raft.EntryCommand, Data: []byte("entry")})
	}
	return out
}

// newFilledFolder returns a data folder with a snapshot and ten entries after it,
// and the path of its only segment.
func newFilledFolder(c *qt.C) (folder, segment string) {
	folder = c.TempDir()
	s, _, err := disk.Open(folder)
	c.Assert(err, qt.IsNil)
	c.Assert(s.SaveSnapshot(&raft.Snapshot{Index: 1, Term: 1}, nil), qt.IsNil)
	c.Assert(s.Save(&raft.HardState{Term: 2, Vote: "c1/d1"}, entries(2, 11)), qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)
	paths := segments(c, folder)
	c.Assert(paths, qt.HasLen, 1)
	return folder, paths[0]
}

// segments returns the paths of the segments in a data folder, oldest first.
func segments(c *qt.C, folder string) []string {
	paths, err := filepath.Glob(filepath.Join(folder, "*.wal"))
	c.Assert(err, qt.IsNil)
	return paths
}

func TestReopenReturnsSavedState(t *testing.T) {
	c := qt.New(t)
	folder, _ := newFilledFolder(c)
	_, stored, err := disk.Open(folder)
	c.Assert(err, qt.IsNil)
	c.Check(stored.State, qt.Equals, raft.HardState{Term: 2, Vote: "c1/d1"})
	c.Check(stored.Entries, qt.HasLen, 10)
}

// TestTruncatedLogWithoutSnapshotNeverPanicsOrYieldsFewerEntries opens the log,
// truncated at every byte, without its snapshot. Open must not panic, and a longer
// prefix that opens must not yield fewer entries.
func TestTruncatedLogWithoutSnapshotNeverPanicsOrYieldsFewerEntries(t *testing.T) {
	c := qt.New(t)
	_, segment := newFilledFolder(c)
	content, err := os.ReadFile(segment)
	c.Assert(err, qt.IsNil)
	previous := -1
	for n := range len(content) {
		folder := c.TempDir()
		c.Assert(os.WriteFile(filepath.Join(folder, "0000000000000001.wal"), content[:n], 0o600), qt.IsNil)
		_, stored, err := disk.Open(folder)
		if len(stored.Entries) > 0 && stored.Entries[0].Index == 2 {
			// Entry 1 is only in the snapshot, which is missing here, so entry 2 may
			// only be returned together with an error.
			c.Assert(err, qt.IsNotNil)
			continue
		}
		if err == nil {
			c.Assert(len(stored.Entries) >= max(previous, 0), qt.IsTrue)
			previous = len(stored.Entries)
		}
	}
}

func TestTornRecordIsTruncatedAndLogContinues(t *testing.T) {
	c := qt.New(t)
	folder, segment := newFilledFolder(c)
	content, err := os.ReadFile(segment)
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(segment, content[:len(content)-3], 0o600), qt.IsNil)
	s, stored, err := disk.Open(folder)
	c.Assert(err, qt.IsNil)
	c.Check(stored.Entries, qt.HasLen, 9)
	c.Assert(s.Save(nil, entries(11, 12)), qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)
	_, stored, err = disk.Open(folder)
	c.Assert(err, qt.IsNil)
	c.Check(stored.Entries, qt.HasLen, 11)
}

// TestFullDiskDuringCompactionLosesNoSyncedEntry cuts the segment that follows a snapshot
// short at every byte, as a disk without room or a loss of power does, while the older
// segment is not deleted yet.
func TestFullDiskDuringCompactionLosesNoSyncedEntry(t *testing.T) {
	c := qt.New(t)
	folder, old := newFilledFolder(c)
	oldContent, err := os.ReadFile(old)
	c.Assert(err, qt.IsNil)
	s, stored, err := disk.Open(folder)
	c.Assert(err, qt.IsNil)
	c.Assert(stored.Entries, qt.HasLen, 10)
	c.Assert(s.SaveSnapshot(&raft.Snapshot{Index: 5, Term: 2}, entries(6, 11)), qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)
	paths := segments(c, folder)
	c.Assert(paths, qt.HasLen, 1)
	newContent, err := os.ReadFile(paths[0])
	c.Assert(err, qt.IsNil)
	for n := range len(newContent) + 1 {
		c.Assert(os.WriteFile(old, oldContent, 0o600), qt.IsNil)
		c.Assert(os.WriteFile(paths[0], newContent[:n], 0o600), qt.IsNil)
		s, stored, err := disk.Open(folder)
		c.Assert(err, qt.IsNil)
		c.Assert(stored.Entries, qt.HasLen, 6, qt.Commentf("%d bytes", n))
		c.Assert(s.Close(), qt.IsNil)
		begun := segments(c, folder)
		c.Assert(os.Remove(begun[len(begun)-1]), qt.IsNil)
	}
}

func TestCorruptionBeforeTheEndIsRejected(t *testing.T) {
	c := qt.New(t)
	folder, segment := newFilledFolder(c)
	content, err := os.ReadFile(segment)
	c.Assert(err, qt.IsNil)
	content[len(content)/2] ^= 0xff
	c.Assert(os.WriteFile(segment, content, 0o600), qt.IsNil)
	_, _, err = disk.Open(folder)
	c.Check(err, qt.ErrorIs, disk.ErrCorrupt)
}

// TestEntriesOfAReplacedLogAreDropped guards against a crash between the rename of a
// new snapshot and the deletion of the old segments: entries of the old log must not
// be read as following the snapshot.
func TestEntriesOfAReplacedLogAreDropped(t *testing.T) {
	c := qt.New(t)
	folder, segment := newFilledFolder(c)
	old, err := os.ReadFile(segment)
	c.Assert(err, qt.IsNil)
	s, _, err := disk.Open(folder)
	c.Assert(err, qt.IsNil)
	c.Assert(s.SaveSnapshot(&raft.Snapshot{Index: 6, Term: 9}, nil), qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)
	c.Assert(os.WriteFile(filepath.Join(folder, "0000000000000001.wal"), old, 0o600), qt.IsNil)
	_, stored, err := disk.Open(folder)
	c.Assert(err, qt.IsNil)
	c.Check(stored.Entries, qt.HasLen, 0)
}

func FuzzOpen(f *testing.F) {
	c := qt.New(f)
	_, segment := newFilledFolder(c)
	content, err := os.ReadFile(segment)
	c.Assert(err, qt.IsNil)
	f.Add(content)
	f.Add(content[:20])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, "0000000000000001.wal"), b, 0o600); err != nil {
			t.Fatal(err)
		}
		s, _, err := disk.Open(folder)
		if err == nil {
			_ = s.Close()
		}
	})
}

// TestEntriesThatWereReadSurvivePowerLoss guards against an entry that a killed process had written and not synced, and that is read and followed by others.
func TestEntriesThatWereReadSurvivePowerLoss(t *testing.T) {
	c := qt.New(t)
	folder := c.TempDir()
	durable, killed := map[string]int64{}, false
	sync := func(f *os.File) error {
		if killed {
			return nil
		}
		info, err := f.Stat()
		c.Assert(err, qt.IsNil)
		durable[f.Name()] = info.Size()
		return f.Sync()
	}
	first, _, err := disk.OpenWith(folder, sync)
	c.Assert(err, qt.IsNil)
	c.Assert(first.Save(&raft.HardState{Term: 1}, []raft.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}}), qt.IsNil)
	killed = true
	c.Assert(first.Save(nil, []raft.Entry{{Index: 3, Term: 1}}), qt.IsNil)
	killed = false
	second, stored, err := disk.OpenWith(folder, sync)
	c.Assert(err, qt.IsNil)
	c.Assert(stored.Entries, qt.HasLen, 3)
	c.Assert(second.Save(nil, []raft.Entry{{Index: 4, Term: 1}}), qt.IsNil)
	segments, err := filepath.Glob(filepath.Join(folder, "*.wal"))
	c.Assert(err, qt.IsNil)
	for _, path := range segments {
		c.Assert(os.Truncate(path, durable[path]), qt.IsNil)
	}
	_, stored, err = disk.Open(folder)
	c.Assert(err, qt.IsNil)
	c.Check(stored.Entries, qt.HasLen, 4)
}

// TestZeroesAfterAPowerLossAreATornRecord guards against a store that is discarded because a file
// system has stored the length of the last write, and not its content.
func TestZeroesAfterAPowerLossAreATornRecord(t *testing.T) {
	c := qt.New(t)
	for _, zeroes := range []int{1, 8, 9, 16, 64} {
		folder, segment := newFilledFolder(c)
		content, err := os.ReadFile(segment)
		c.Assert(err, qt.IsNil)
		c.Assert(os.WriteFile(segment, append(content, make([]byte, zeroes)...), 0o600), qt.IsNil)
		s, stored, err := disk.Open(folder)
		c.Assert(err, qt.IsNil, qt.Commentf("%d zeroes", zeroes))
		c.Check(stored.Entries, qt.HasLen, 10)
		c.Assert(s.Close(), qt.IsNil)
	}
}

// TestStartWaitsForNoSyncOfItsNewSegment guards against hosts that start slowly on a slow disk, and
// against a start that loses what was stored if it is cut short.
func TestStartWaitsForNoSyncOfItsNewSegment(t *testing.T) {
	c := qt.New(t)
	syncs := 0
	sync := func(f *os.File) error {
		syncs++
		return f.Sync()
	}
	empty, _, err := disk.OpenWith(c.TempDir(), sync)
	c.Assert(err, qt.IsNil)
	c.Check(syncs, qt.Equals, 0)
	c.Assert(empty.Save(&raft.HardState{Term: 1}, nil), qt.IsNil)
	c.Check(syncs, qt.Equals, 1)
	c.Assert(empty.Close(), qt.IsNil)

	folder, _ := newFilledFolder(c)
	syncs = 0
	s, stored, err := disk.OpenWith(folder, sync)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)
	// The segment before may hold what a killed process has written without a sync.
	c.Check(syncs, qt.Equals, 1)
	begun := segments(c, folder)
	path := begun[len(begun)-1]
	content, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	for n := range len(content) + 1 {
		c.Assert(os.WriteFile(path, content[:n], 0o600), qt.IsNil)
		s, again, err := disk.Open(folder)
		c.Assert(err, qt.IsNil, qt.Commentf("%d bytes", n))
		c.Check(again, qt.DeepEquals, stored, qt.Commentf("%d bytes", n))
		c.Assert(s.Close(), qt.IsNil)
		begun := segments(c, folder)
		c.Assert(os.Remove(begun[len(begun)-1]), qt.IsNil)
	}
}
