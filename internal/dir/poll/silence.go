package poll

import "monsooncleat.example/monsooncleat/internal/base/clock"

// Silence returns a function that reports whether a server no longer announces itself,
// according to the control hosts that replied recently. If one of them is in contact
// with a quorum, only such hosts count. Otherwise each sees only its own side of a
// partition, so the server is silent only if all report it as silent. Known is
// false if the replies are not sufficient to decide. The function may be used on another
// goroutine.
func (p *Poller) Silence(now clock.Millis) func(id string) (silent, known bool) {
	hasQuorum := p.quorumReplied(now)
	var reports []map[string]bool
	for _, h := range p.hosts {
		if h.repliedAt > 0 && now-h.repliedAt <= isolationTimeout && (h.current || !hasQuorum) {
			reports = append(reports, h.silent)
		}
	}
	known := len(reports) > 0 && (hasQuorum || p.Isolated(now))
	return func(id string) (bool, bool) {
		silent := len(reports) > 0
		for _, r := range reports {
			silent = silent && r[id]
		}
		return silent, known
	}
}

// Silent reports what Silence reports for one server.
func (p *Poller) Silent(now clock.Millis, id string) (silent, known bool) { return p.Silence(now)(id) }
