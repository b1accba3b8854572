// Package grant decides on a control host which entry host may open flows on each cold
// server. It is the answer to servers that bear a fraction of their usual rate, in front
// of hundreds of entry hosts of which any may be paused or cut off: entry hosts cannot
// agree on what each of them opens, and a share for each would be less than one flow a
// second.
//
// Each control host grants a part of the rate of each cold server, its share, to one entry
// host at a time, for a short term. Control hosts exchange no messages for that, and keep
// no state over restarts.
package grant

import (
	"cmp"
	"maps"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/hash"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
)

const (
	// Term is how long a grant holds after the request that it answers was sent. It
	// covers three polls.
	Term = clock.Second
	// margin is the time after the term in which a share is not granted to another
	// entry host. It covers the time for which this host handles messages with one
	// reading of its clock, and differences between the speeds of clocks.
	margin = 250 * clock.Millis(1)
	// hostTTL is how long an entry host that no longer polls is chosen.
	hostTTL = 2 * clock.Second
	// updateInterval is the time between two computations of the holders.
	updateInterval = 100 * clock.Millis(1)
	// slackShares is the number of shares of a server with a very low rate. Each of
	// them may have saved one flow, and 5 more than 1.5 times the rate may be opened in
	// a second. One is left for control hosts that differ about the members.
	slackShares = 4
	// ratePerShare is the rate for each further share, in flows a second. Half of the rate
	// is for what shares have saved, and up to a quarter of it for the part of one share
	// more, while control hosts differ about the members.
	ratePerShare = 4
)

// Part returns the rate, in flows a second, that one control host may grant of a cold
// server: an equal part of rate for each member of the log. If the rate is low for the
// number of members, only some of them have a part, which they all compute alike. Part
// returns 0 for other members and for a host that is none.
func Part(rate float64, token uint32, self string, members []string) float64 {
	if !slices.Contains(members, self) {
		return 0
	}
	parts := min(slackShares+int(min(rate/ratePerShare, float64(len(members)))), len(members))
	if parts < len(members) {
		rank, own := 0, weight(token, hash.String(self))
		for _, m := range members {
			if weight(token, hash.String(m)) > own {
				rank++
			}
		}
		if rank >= parts {
			return 0
		}
	}
	return rate / float64(parts)
}

// weight is the weight of a candidate in the rendezvous hashing for a server.
func weight(token uint32, candidate uint64) uint64 { return hash.Mix(uint64(token), candidate) }

// Server is a cold server.
type Server struct {
	ID     string
	Token  uint32
	Centre string
	// Rate is what this control host may grant, in flows a second.
	Rate float64
}

// Host is an entry host that polls this control host.
type Host struct {
	// Instance is a random number that identifies the run of the process. Two processes
	// with the same name must not hold one share.
	Instance     uint64
	Name, Centre string
}

// Share is the part of the rate of a server that this control host grants, for dumps.
type Share struct {
	Server string  `json:"server"`
	Host   string  `json:"host"`
	Rate   float64 `json:"rate"`
	// Left is the time until the term of the latest grant is over, negative after it.
	Left clock.Millis `json:"left"`
}

type host struct {
	Host
	polledAt clock.Millis
}

type share struct {
	server Server
	// chosen is the instance to grant to, or 0, and holder that of the latest grant,
	// which ends at until.
	chosen, holder uint64
	holderName     string
	until          clock.Millis
	// listed is cleared once the server is no longer cold.
	listed bool
}

// Keeper keeps the shares of one control host. It is not safe for concurrent use.
type Keeper struct {
	// silentUntil is when the grants of an earlier run of this host have certainly ended.
	silentUntil clock.Millis
	// confirmedFor is how long this host grants after the latest contact with a quorum,
	// which was at confirmedAt, or 0.
	confirmedFor, confirmedAt clock.Millis
	hosts                     map[uint64]*host
	shares                    map[uint32]*share
	// byHost holds the shares by their chosen instance.
	byHost       map[uint64][]*share
	nextUpdateAt clock.Millis
}

// New returns a Keeper of a control host that starts at now. It grants for confirmedFor
// after each contact with a quorum: without contact for longer, the host may have been
// removed from the log, and the others grant its part.
func New(now, confirmedFor clock.Millis) *Keeper {
	return &Keeper{
		silentUntil: now + Term + margin, confirmedFor: confirmedFor,
		hosts: map[uint64]*host{}, shares: map[uint32]*share{}, byHost: map[uint64][]*share{},
	}
}

// Confirmed records that this host is in contact with a quorum.
func (k *Keeper) Confirmed(now clock.Millis) { k.confirmedAt = now }

// Polled records a poll of an entry host.
func (k *Keeper) Polled(now clock.Millis, h Host) { k.hosts[h.Instance] = &host{h, now} }

// UpdateDue reports whether Update is due, and schedules the one after it.
func (k *Keeper) UpdateDue(now clock.Millis) bool {
	if now < k.nextUpdateAt {
		return false
	}
	k.nextUpdateAt = now + updateInterval
	return true
}

// Update sets the cold servers and chooses the entry host for each: by rendezvous hashing
// among those of the server's data centre that poll this host, or of all if there are none.
func (k *Keeper) Update(now clock.Millis, servers []Server) {
	byCentre, all := map[string][]uint64{}, []uint64{}
	for instance, h := range k.hosts {
		if now-h.polledAt >= hostTTL {
			delete(k.hosts, instance)
			continue
		}
		byCentre[h.Centre] = append(byCentre[h.Centre], instance)
		all = append(all, instance)
	}
	for _, s := range k.shares {
		s.listed = false
	}
	k.byHost = map[uint64][]*share{}
	for _, server := range servers {
		s := k.shares[server.Token]
		if s == nil {
			s = &share{}
			k.shares[server.Token] = s
		}
		candidates := byCentre[server.Centre]
		if len(candidates) == 0 {
			candidates = all
		}
		s.server, s.listed, s.chosen = server, true, 0
		if len(candidates) > 0 && server.Rate > 0 {
			s.chosen = slices.MaxFunc(candidates, func(a, b uint64) int {
				return cmp.Or(cmp.Compare(weight(server.Token, a), weight(server.Token, b)), cmp.Compare(a, b))
			})
			k.byHost[s.chosen] = append(k.byHost[s.chosen], s)
		}
	}
	maps.DeleteFunc(k.shares, func(_ uint32, s *share) bool { return !s.listed && now >= s.until+margin })
}

// Grants returns the grants for an entry host that polls now.
func (k *Keeper) Grants(now clock.Millis, instance uint64) []msgs.Grant {
	if now < k.silentUntil || k.confirmedAt == 0 || now-k.confirmedAt >= k.confirmedFor {
		return nil
	}
	var out []msgs.Grant
	for _, s := range k.byHost[instance] {
		if s.holder != instance && s.holder != 0 && now < s.until+margin {
			continue
		}
		s.holder, s.holderName, s.until = instance, k.hosts[instance].Name, now+Term
		out = append(out, msgs.Grant{Token: s.server.Token, Rate: float32(s.server.Rate), Term: Term})
	}
	return out
}

// Shares returns the shares of the cold servers, sorted by server.
func (k *Keeper) Shares(now clock.Millis) []Share {
	var out []Share
	for _, s := range k.shares {
		if s.listed {
			out = append(out, Share{s.server.ID, s.holderName, s.server.Rate, s.until - now})
		}
	}
	slices.SortFunc(out, func(a, b Share) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// Len returns the number of cold servers, and how many of them this host grants now.
func (k *Keeper) Len(now clock.Millis) (cold, granted int) {
	for _, s := range k.shares {
		if s.listed {
			cold++
		}
		if now < s.until {
			granted++
		}
	}
	return cold, granted
}
