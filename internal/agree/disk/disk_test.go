package disk_test

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/agree/disk"
	"monsooncleat.example/monsooncleat/internal/agree/raft"
)

func entries(from, to uint64) []raft.Entry {
	var out []raft.Entry
	for i := from; i <= to; i++ {
		out = append(out, raft.Entry{Index: i, Term: 2, Kind: raft.EntryCommand, Data: []byte("entry")})
	}
	return out
}

// filled returns a folder with a log of ten entries, and its segment.
func filled(c *qt.C) (folder, segment string) {
	folder = c.TempDir()
	s, _, err := disk.Open(folder)
	c.Assert(err, qt.IsNil)
	c.Assert(s.SaveSnapshot(&raft.Snapshot{Index: 1, Term: 1}, nil), qt.IsNil)
	c.Assert(s.Save(&raft.HardState{Term: 2, Vote: "c1/d1"}, entries(2, 11)), qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)
	names, err := filepath.Glob(filepath.Join(folder, "*.wal"))
	c.Assert(err, qt.IsNil)
	c.Assert(names, qt.HasLen, 1)
	return folder, names[0]
}

func TestReopen(t *testing.T) {
	c := qt.New(t)
	folder, _ := filled(c)
	_, stored, err := disk.Open(folder)
	c.Assert(err, qt.IsNil)
	c.Check(stored.State, qt.Equals, raft.HardState{Term: 2, Vote: "c1/d1"})
	c.Check(stored.Entries, qt.HasLen, 10)
}

// TestTornTail cuts the log at every byte: what is left is always read back.
func TestTornTail(t *testing.T) {
	c := qt.New(t)
	_, segment := filled(c)
	whole, err := os.ReadFile(segment)
	c.Assert(err, qt.IsNil)
	last := -1
	for n := range len(whole) {
		folder := c.TempDir()
		c.Assert(os.WriteFile(filepath.Join(folder, "0000000000000001.wal"), whole[:n], 0o600), qt.IsNil)
		_, stored, err := disk.Open(folder)
		if len(stored.Entries) > 0 && stored.Entries[0].Index == 2 {
			// Without its snapshot the log starts in the middle.
			c.Assert(err, qt.IsNotNil)
			continue
		}
		if err == nil {
			c.Assert(len(stored.Entries) >= max(last, 0), qt.IsTrue)
			last = len(stored.Entries)
		}
	}
}

func TestTornTailAfterSnapshot(t *testing.T) {
	c := qt.New(t)
	folder, segment := filled(c)
	whole, err := os.ReadFile(segment)
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(segment, whole[:len(whole)-3], 0o600), qt.IsNil)
	s, stored, err := disk.Open(folder)
	c.Assert(err, qt.IsNil)
	c.Check(stored.Entries, qt.HasLen, 9)
	c.Assert(s.Save(nil, entries(11, 12)), qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)
	_, stored, err = disk.Open(folder)
	c.Assert(err, qt.IsNil)
	c.Check(stored.Entries, qt.HasLen, 11)
}

func TestDamagedMiddleIsRefused(t *testing.T) {
	c := qt.New(t)
	folder, segment := filled(c)
	whole, err := os.ReadFile(segment)
	c.Assert(err, qt.IsNil)
	whole[len(whole)/2] ^= 0xff
	c.Assert(os.WriteFile(segment, whole, 0o600), qt.IsNil)
	_, _, err = disk.Open(folder)
	c.Check(err, qt.ErrorIs, disk.ErrDamaged)
}

// TestReplacedLog checks that entries of a log which a snapshot replaced shortly
// before a crash are not read as its continuation.
func TestReplacedLog(t *testing.T) {
	c := qt.New(t)
	folder, segment := filled(c)
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
	_, segment := filled(c)
	whole, err := os.ReadFile(segment)
	c.Assert(err, qt.IsNil)
	f.Add(whole)
	f.Add(whole[:20])
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
