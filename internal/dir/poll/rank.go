package poll

import (
	"cmp"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/hash"
)

// addresses returns the known control hosts in the order in which this entry host
// prefers them: those of its data centre first, each group by rendezvous hashing. So
// entry hosts spread over the control hosts, and those of a lost one over the rest.
func (p *Poller) addresses() []string {
	out := slices.Clone(p.learned)
	for _, s := range slices.Concat(p.options.Seeds, p.advertised) {
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	self := hash.String(p.options.Name)
	slices.SortFunc(out, func(a, b string) int {
		if aLocal, bLocal := p.isLocal(a), p.isLocal(b); aLocal != bLocal {
			if aLocal {
				return -1
			}
			return 1
		}
		return cmp.Compare(hash.Mix(self, hash.String(b)), hash.Mix(self, hash.String(a)))
	})
	return out
}

func (p *Poller) isLocal(address string) bool {
	return p.options.Centre != "" && p.centres[address] == p.options.Centre
}

// preferred returns the first of the control hosts in the latest list, or the primary
// if there is no list.
func (p *Poller) preferred() string {
	for _, address := range p.addresses() {
		if slices.Contains(p.learned, address) {
			return address
		}
	}
	return p.primary
}

// nextOther returns the control hosts other than the primary in turn, or "" if there is
// none.
func (p *Poller) nextOther() string {
	others := slices.DeleteFunc(p.addresses(), func(a string) bool { return a == p.primary })
	if len(others) == 0 {
		return ""
	}
	p.probed++
	return others[(p.probed-1)%len(others)]
}
