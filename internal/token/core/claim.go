package core

import "monsooncleat.example/monsooncleat/internal/serve/fleet"

// Claim is why a server is said to have ended. Announcements, removals and records of other
// servers can be late, out of order or from another writer, so a claim may be wrong.
type Claim uint8

// Claims.
const (
	NoClaim Claim = iota
	// Restarted means that another incarnation is known under the server's ID.
	Restarted
	// Removed means that the removal of the server was requested.
	Removed
	// Displaced means that the server's address is said to belong to another server.
	Displaced
)

// String returns the claim in camel case.
func (c Claim) String() string {
	return [...]string{"none", "restarted", "removed", "displaced"}[c]
}

// claim returns why the server is said to have ended.
func (s *server) claim() Claim {
	switch {
	case s.started != s.entry.Started:
		return Restarted
	case !s.entry.Ended():
		return NoClaim
	case s.entry.State == fleet.Left:
		return Removed
	default:
		return Displaced
	}
}
