package fleet

import "sort"

// changeSlack is the number of outdated entries that a changeLog holds before it is
// compacted, besides as many as there are servers.
const changeSlack = 64

// changeLog lists the servers by the position of their latest change, so that the
// changes after a position are found without visiting all servers.
type changeLog struct {
	entries []change
	// latest returns the position of the latest change of a server.
	latest func(*Server) uint64
}

// change is outdated once the server has changed again.
type change struct {
	position uint64
	server   *Server
}

// add records a change at a position that is higher than all before.
func (l *changeLog) add(position uint64, s *Server, servers int) {
	l.entries = append(l.entries, change{position, s})
	if len(l.entries) <= 2*servers+changeSlack {
		return
	}
	kept := l.entries[:0]
	for _, e := range l.entries {
		if l.latest(e.server) == e.position {
			kept = append(kept, e)
		}
	}
	clear(l.entries[len(kept):])
	l.entries = kept
}

// since returns the servers whose latest change is after position, the earliest first.
func (l *changeLog) since(position uint64) []*Server {
	first := sort.Search(len(l.entries), func(i int) bool { return l.entries[i].position > position })
	var out []*Server
	for _, e := range l.entries[first:] {
		if l.latest(e.server) == e.position {
			out = append(out, e.server)
		}
	}
	return out
}
