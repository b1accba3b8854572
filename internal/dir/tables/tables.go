// Package tables keeps the newest routing table, and its recent versions to
// compute the deltas for entry hosts that are behind.
package tables

import (
	"slices"

	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
)

// maxRecent is the number of versions against which deltas are computed. An
// entry host with an older version gets the whole table.
const maxRecent = 32

// Tables holds the newest publication and the recent routing tables. It is not
// safe for concurrent use.
type Tables struct {
	newest  msgs.Publication
	encoded []byte
	recent  []*routes.Table
	// deltas holds the encoded deltas to the newest table by the version that they
	// are applied to, with 0 for the whole table.
	deltas map[uint64][]byte
}

// Version returns the newest version, or 0.
func (t *Tables) Version() uint64 { return t.newest.Table.Version }

// Encoded returns the newest publication in its encoded form, or nil.
func (t *Tables) Encoded() []byte { return t.encoded }

// Source returns the operator's text of the newest publication.
func (t *Tables) Source() []byte { return t.newest.Source }

// Adopt decodes a publication. If its version is higher than that of the newest
// publication, it becomes the newest one and Adopt returns true.
func (t *Tables) Adopt(encoded []byte) (bool, error) {
	var p msgs.Publication
	if err := msgs.Unmarshal(encoded, &p); err != nil {
		return false, err
	}
	if p.Table.Version <= t.Version() {
		return false, nil
	}
	t.newest, t.encoded, t.deltas = p, encoded, map[uint64][]byte{}
	t.recent = append(t.recent, &p.Table)
	if len(t.recent) > maxRecent {
		t.recent = append([]*routes.Table(nil), t.recent[1:]...)
	}
	return true, nil
}

// Routes returns the number of routes in the newest version.
func (t *Tables) Routes() int { return len(t.newest.Table.Routes) }

// Allows reports whether the newest version has a service. Before the first version, any
// service may come.
func (t *Tables) Allows(service string) bool {
	return t.Version() == 0 || slices.Contains(t.newest.Table.Services, service)
}

// Warmups returns the services of the newest version that limit their cold servers.
// Callers must only read from it.
func (t *Tables) Warmups() map[string]routes.Warmup { return t.newest.Table.Warmups }

// DeltaSince returns the encoded delta from version to the newest version, or nil if
// version is not older. For a version that is no longer kept, it returns the whole
// table. Each delta is computed once.
func (t *Tables) DeltaSince(version uint64) []byte {
	if t.Version() <= version {
		return nil
	}
	var from *routes.Table
	base := uint64(0)
	for _, r := range t.recent {
		if r.Version == version {
			from, base = r, version
		}
	}
	if t.deltas[base] == nil {
		t.deltas[base] = msgs.EncodeDelta(routes.Diff(from, &t.newest.Table))
	}
	return t.deltas[base]
}
