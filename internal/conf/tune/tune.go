// Package tune names the mechanisms of an entry host that routes flows by token, so
// that each can be switched off to measure what it is worth.
package tune

import (
	"fmt"
	"strings"

	"monsooncleat.example/monsooncleat/internal/conf/strict"
)

// Mechanism is a part of the decisions of an entry host.
type Mechanism uint8

// Mechanisms.
const (
	// Sampling compares two random servers instead of all.
	Sampling Mechanism = iota
	// LocalFirst keeps flows in their data centre while it has free capacity.
	LocalFirst
	// LocalExcess keeps flows there also under load, unless it is busier than the mean.
	LocalExcess
	// LongFlows places flows of many requests by the number of such flows.
	LongFlows
	// LoadExchange uses the loads that other hosts report.
	LoadExchange
	// Backoff avoids a server that leaves packets unanswered.
	Backoff
	// Trials limits the flows to a server whose backoff has ended.
	Trials
	// MoveOpenings sends a retransmitted opening packet to another server.
	MoveOpenings
	// CorrectTokens replaces the token of a server that does not hold the flow.
	CorrectTokens
	// QuorumSilence uses the control hosts' report of silent servers.
	QuorumSilence
	// Admission refuses flows that could not be answered in time.
	Admission
	// Priorities refuses less urgent flows at lower loads.
	Priorities
	// FirstTable takes the first routing table without a quorum.
	FirstTable
	// Subsets gives each entry host a part of the slots of its data centre under load.
	Subsets
	// WarmupLimits keeps to the rates that cold servers bear.
	WarmupLimits
	// Shaping sends large flows at the rate of the host's link, after small ones.
	Shaping
	// MovedFlows counts a request whose flow may have moved to another entry host only for
	// as long as requests usually take.
	MovedFlows
	// LateCopies opens flows for copies of opening packets that come too late for the
	// latency goal only while there is room.
	LateCopies
	// Witness breaks ties between the voters of the log.
	Witness
	mechanisms
)

// names are the names in settings, in the order of the constants.
var names = [mechanisms]string{
	"sampling", "localFirst", "localExcess", "longFlows", "loadExchange", "backoff", "trials",
	"moveOpenings", "correctTokens", "quorumSilence", "admission", "priorities", "firstTable",
	"subsets", "warmupLimits", "shaping", "movedFlows",
	"lateCopies", "witness",
}

// String returns the name in settings.
func (m Mechanism) String() string {
	if m >= mechanisms {
		return fmt.Sprintf("mechanism %d", uint8(m))
	}
	return names[m]
}

// All returns all mechanisms.
func All() []Mechanism {
	out := make([]Mechanism, mechanisms)
	for i := range out {
		out[i] = Mechanism(i)
	}
	return out
}

// Off is a set of mechanisms that are switched off. The zero value is empty.
type Off uint32

// With returns the set with one more mechanism.
func (o Off) With(m Mechanism) Off { return o | 1<<m }

// Has reports whether a mechanism is switched off.
func (o Off) Has(m Mechanism) bool { return o&(1<<m) != 0 }

// String returns the names in the set, separated by commas.
func (o Off) String() string {
	var out []string
	for _, m := range All() {
		if o.Has(m) {
			out = append(out, m.String())
		}
	}
	return strings.Join(out, ",")
}

// file is the settings file.
type file struct {
	Policy struct {
		// Off lists the mechanisms to switch off.
		Off []string `toml:"off"`
	} `toml:"policy"`

	off Off
}

// Validate records errors in c.
func (f *file) Validate(c *strict.Checker) {
	for _, name := range f.Policy.Off {
		m, known := parse(name)
		c.Check(known, "policy.off", "unknown mechanism %q, want some of %s", name, strings.Join(names[:], ", "))
		if known {
			f.off = f.off.With(m)
		}
	}
}

func parse(name string) (Mechanism, bool) {
	for i, n := range names {
		if n == name {
			return Mechanism(i), true
		}
	}
	return 0, false
}

// Load reads a settings file, a TOML file with the list policy.off. It returns
// strict.FieldErrors for an unknown key or mechanism.
func Load(path string) (Off, error) {
	var f file
	if err := strict.Load(path, &f); err != nil {
		return 0, err
	}
	return f.off, nil
}
