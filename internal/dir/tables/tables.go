// Package tables keeps the newest routing table and the ones in force lately,
// against which entry hosts get deltas.
package tables

import (
	"github.com/vmihailenco/msgpack/v5"

	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
)

// kept is how many versions an entry host may be behind and still get a delta.
const kept = 32

// Tables holds publications by version. It is not safe for concurrent use.
type Tables struct {
	newest  msgs.Publication
	encoded []byte
	recent  []*routes.Table
}

// Version returns the newest version, or 0.
func (t *Tables) Version() uint64 { return t.newest.Table.Version }

// Encoded returns the newest publication as it was adopted, or nil.
func (t *Tables) Encoded() []byte { return t.encoded }

// Source returns the text of the newest publication.
func (t *Tables) Source() []byte { return t.newest.Source }

// Adopt takes an encoded publication when it is newer, and reports whether it
// was.
func (t *Tables) Adopt(encoded []byte) (bool, error) {
	var p msgs.Publication
	if err := msgpack.Unmarshal(encoded, &p); err != nil {
		return false, err
	}
	if p.Table.Version <= t.Version() {
		return false, nil
	}
	t.newest, t.encoded = p, encoded
	t.recent = append(t.recent, &p.Table)
	if len(t.recent) > kept {
		t.recent = append([]*routes.Table(nil), t.recent[1:]...)
	}
	return true, nil
}

// Routes returns the count of routes in the newest version.
func (t *Tables) Routes() int { return len(t.newest.Table.Routes) }

// Since returns what leads from a version to the newest, or nil if there is
// nothing newer.
func (t *Tables) Since(version uint64) *routes.Delta {
	if t.Version() <= version {
		return nil
	}
	var from *routes.Table
	for _, r := range t.recent {
		if r.Version == version {
			from = r
		}
	}
	return routes.Diff(from, &t.newest.Table)
}
