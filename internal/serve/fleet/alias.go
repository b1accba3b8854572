package fleet

import (
	"net/netip"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// maxAliases is the maximum number of aliases of a server.
const maxAliases = 4

// Alias is the start of another incarnation of a server, at the same address. Entry hosts
// that knew that one opened flows under its token, and the present one accepted them.
type Alias struct {
	Started clock.Millis `msgpack:"started"`
	// Age is the time since the incarnation was replaced.
	Age clock.Millis `msgpack:"age"`
}

// former is an incarnation of an ID that another one replaced.
type former struct {
	started    clock.Millis
	address    netip.AddrPort
	replacedAt clock.Millis
}

// Aliases returns the aliases of s, those that were added last at the end.
func (s *Server) Aliases(now clock.Millis) []Alias {
	var out []Alias
	for _, e := range s.former {
		if e.started != s.Started && e.address == s.Address {
			out = append(out, Alias{e.started, now - e.replacedAt})
		}
	}
	return out
}

// AddAliases adds aliases that another host gives for the server in r.
func (f *Fleet) AddAliases(now clock.Millis, r *Record, aliases []Alias) {
	s := f.servers[r.ID]
	if s == nil {
		return
	}
	for _, a := range aliases {
		// Hosts forget an alias at slightly different times. Without a margin, they would
		// learn it again from each other.
		old := a.Age > f.options.ForgetAfter*2/3
		if old || a.Started == s.Started || s.indexFormer(a.Started, r.Address) >= 0 {
			continue
		}
		s.addFormer(former{a.Started, r.Address, now - a.Age})
		f.touch(s, true)
	}
}

func (s *Server) indexFormer(started clock.Millis, address netip.AddrPort) int {
	return slices.IndexFunc(s.former, func(e former) bool { return e.started == started && e.address == address })
}

func (s *Server) addFormer(added former) {
	if i := s.indexFormer(added.started, added.address); i >= 0 {
		s.former = slices.Delete(s.former, i, i+1)
	}
	s.former = append(s.former, added)
	s.former = s.former[max(len(s.former)-maxAliases, 0):]
}

// forgetFormer forgets the incarnations that were replaced before a time.
func (s *Server) forgetFormer(before clock.Millis) {
	if len(s.former) > 0 {
		s.former = slices.DeleteFunc(s.former, func(e former) bool { return e.replacedAt < before })
	}
}
