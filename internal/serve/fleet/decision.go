package fleet

import "monsooncleat.example/monsooncleat/internal/base/clock"

// Rule is the rule by which a Fleet decides that a record is not used.
type Rule uint8

// Rules of a Decision.
const (
	// RuleLeft means that the server has left.
	RuleLeft Rule = iota + 1
	// RuleAddressTaken means that the server has ended, because the rival owns its address.
	RuleAddressTaken
	// RuleSuperseded means that the rival, an incarnation with the same ID, is believed
	// instead.
	RuleSuperseded
	// RuleAddressContested means that the server takes no new flows, because the rival owns
	// its address, and both announce themselves.
	RuleAddressContested
)

// String returns the name of the rule in logs.
func (r Rule) String() string {
	names := [...]string{"unknown", "left", "addressTaken", "superseded", "addressContested"}
	if int(r) >= len(names) {
		return names[0]
	}
	return names[r]
}

// Decision tells why a server counts as ended or takes no new flows.
type Decision struct {
	Rule   Rule
	Server Record
	// Age is the time since the server's latest announcement.
	Age clock.Millis
	// Rival is the record that is used instead, or empty for RuleLeft.
	Rival    Record
	RivalAge clock.Millis
}

// decide reports a decision about a record announced at announcedAt. Rival may be nil.
func (f *Fleet) decide(now clock.Millis, rule Rule, r *Record, announcedAt clock.Millis, rival *Server) {
	if f.options.Report == nil {
		return
	}
	d := Decision{Rule: rule, Server: *r, Age: now - announcedAt}
	if rival != nil {
		d.Rival, d.RivalAge = rival.Record, now-rival.announcedAt
	}
	f.options.Report(d)
}
