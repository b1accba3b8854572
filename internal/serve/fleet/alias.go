package fleet

import (
	"net/netip"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// maxAliases is the maximum number of aliases of a server.
const maxAliases = 4

// Alias is the start of another incarnation of a server, at the same address: one that was
// replaced, or is not believed. Entry hosts that know that one open flows under its token,
// which the server accepts.
type Alias struct {
	Started clock.Millis `msgpack:"started"`
	// Age is the time since the incarnation was replaced or first announced.
	Age clock.Millis `msgpack:"age"`
}

// other is an incarnation of an ID that the present one replaced, or that is not believed.
type other struct {
	started clock.Millis
	address netip.AddrPort
	since   clock.Millis
}

// Aliases returns the aliases of s, those that were added last at the end.
func (s *Server) Aliases(now clock.Millis) []Alias {
	var out []Alias
	for _, e := range s.others {
		if e.started != s.Started && e.address == s.Address {
			out = append(out, Alias{e.started, now - e.since})
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
		if old || a.Started == s.Started || s.indexOther(a.Started, r.Address) >= 0 {
			continue
		}
		s.addOther(other{a.Started, r.Address, now - a.Age})
		f.touch(s, true)
	}
}

func (s *Server) indexOther(started clock.Millis, address netip.AddrPort) int {
	return slices.IndexFunc(s.others, func(e other) bool { return e.started == started && e.address == address })
}

func (s *Server) addOther(added other) {
	if i := s.indexOther(added.started, added.address); i >= 0 {
		s.others = slices.Delete(s.others, i, i+1)
	}
	s.others = append(s.others, added)
	s.others = s.others[max(len(s.others)-maxAliases, 0):]
}

// forgetOthers forgets the incarnations that are known from before a time.
func (s *Server) forgetOthers(before clock.Millis) {
	if len(s.others) > 0 {
		s.others = slices.DeleteFunc(s.others, func(e other) bool { return e.since < before })
	}
}
