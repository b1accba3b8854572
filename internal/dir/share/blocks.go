package share

import (
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/dir/record"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/serve/tokens"
)

// Blocks encodes the servers of a List for entry hosts, once per change of the list,
// however many hosts ask. It is not safe for concurrent use.
type Blocks struct {
	list *List
	// position is the latest change that the fields below include.
	position  uint64
	encodedAt clock.Millis
	// byCentre holds all servers of each data centre, or is nil.
	byCentre map[string][]byte
	// changes holds the changes since a position by the number of servers in them.
	// The servers that changed last are the same for all hosts.
	changes map[int]encodedBlock
	// silent are the silent servers, and silentVersion changes with them.
	silent        []string
	silentVersion uint64
	silentKnown   bool
	// centres holds the data centre of each server by its tokens, or is nil.
	centres map[uint32]string
}

type encodedBlock struct {
	data []byte
	at   clock.Millis
}

// NewBlocks returns the Blocks of a List.
func NewBlocks(list *List) *Blocks { return &Blocks{list: list} }

// refresh drops what is out of date.
func (b *Blocks) refresh() {
	if p := b.list.fleet.LastChange(); p != b.position || b.changes == nil {
		b.position, b.byCentre, b.centres, b.silentKnown = p, nil, nil, false
		b.changes = map[int]encodedBlock{}
	}
}

// Part returns a part of the list for an entry host in a data centre that has the
// changes up to a position of the run runID, or 0. It returns the part that it is,
// which is AllParts if the host has no position that the asked one could follow, and
// the position that the host has then.
func (b *Blocks) Part(now clock.Millis, asked msgs.Part, centre string, runID, position uint64) (blocks []msgs.Block, part msgs.Part, present uint64) {
	b.refresh()
	since := b.list.since(runID, position)
	switch {
	case asked == msgs.LocalPart:
		blocks, part = b.whole(now, func(c string) bool { return c == centre }), msgs.LocalPart
	case since == 0:
		blocks = b.whole(now, func(string) bool { return true })
	case asked == msgs.RestPart:
		blocks, part = b.whole(now, func(c string) bool { return c != centre }), msgs.RestPart
		blocks = append(blocks, b.since(now, since)...)
	default:
		blocks = b.since(now, since)
	}
	return blocks, part, b.position
}

// whole returns all servers of the selected data centres.
func (b *Blocks) whole(now clock.Millis, selected func(centre string) bool) []msgs.Block {
	if b.byCentre == nil {
		b.encodeAll(now)
	}
	var out []msgs.Block
	for centre, data := range b.byCentre {
		if selected(centre) {
			out = append(out, msgs.Block{Data: data, Age: now - b.encodedAt})
		}
	}
	return out
}

func (b *Blocks) encodeAll(now clock.Millis) {
	servers := map[string][]msgs.ServerStatus{}
	b.list.fleet.Each(func(s *fleet.Server) { servers[s.Centre] = append(servers[s.Centre], StatusOf(now, s)) })
	b.byCentre, b.encodedAt = map[string][]byte{}, now
	for centre, list := range servers {
		b.byCentre[centre] = record.Append(nil, list)
	}
}

// since returns the servers that changed after a position.
func (b *Blocks) since(now clock.Millis, position uint64) []msgs.Block {
	if position >= b.position {
		return nil
	}
	changed := b.list.fleet.ChangedSince(position)
	if len(changed) == 0 {
		return nil
	}
	block, known := b.changes[len(changed)]
	if !known {
		list := make([]msgs.ServerStatus, 0, len(changed))
		for _, s := range changed {
			list = append(list, StatusOf(now, s))
		}
		block = encodedBlock{record.Append(nil, list), now}
		b.changes[len(changed)] = block
	}
	return []msgs.Block{{Data: block.data, Age: now - block.at}}
}

// Silent returns the IDs of List.Silent, sorted, and a number that changes with them.
func (b *Blocks) Silent() (ids []string, version uint64) {
	b.refresh()
	if !b.silentKnown {
		b.silentKnown = true
		ids := b.list.Silent()
		slices.Sort(ids)
		if !slices.Equal(ids, b.silent) || b.silentVersion == 0 {
			b.silent, b.silentVersion = ids, max(b.position, b.silentVersion+1)
		}
	}
	return b.silent, b.silentVersion
}

// CentreOf returns the data centre of the server that a token identifies, or "".
func (b *Blocks) CentreOf(token uint32) string {
	b.refresh()
	if b.centres == nil {
		b.centres = make(map[uint32]string, b.list.fleet.Len())
		b.list.fleet.Each(func(s *fleet.Server) {
			for _, t := range tokens.Candidates(s.ID, s.Started) {
				b.centres[uint32(t)] = s.Centre
			}
		})
	}
	return b.centres[token]
}
