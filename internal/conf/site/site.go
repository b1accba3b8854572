// Package site holds the settings of the entry hosts that route flows by token,
// and of the control hosts that serve their directory.
package site

import (
	"errors"
	"fmt"
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/conf/tune"
)

// ErrInvalidSettings is returned for settings that are missing or invalid.
var ErrInvalidSettings = errors.New("invalid settings")

// Settings holds the settings of one host.
type Settings struct {
	Name string
	// Centre is the host's data centre.
	Centre string
	// Packets is where an entry host receives the packets of clients. Resets
	// are sent to the client's IP address at the same port number.
	Packets netip.AddrPort
	// Ready is where an entry host serves its readiness.
	Ready netip.AddrPort
	// API is where a control host serves announcements and configuration.
	API netip.AddrPort
	// Peer is the address at which other hosts reach a control host.
	Peer netip.AddrPort
	// Bind is where a control host listens for other hosts. It differs from Peer
	// if the other hosts connect through a proxy.
	Bind netip.AddrPort
	// Admin is where the host serves metrics and state dumps.
	Admin netip.AddrPort
	// Seeds are the Peer addresses of the control hosts to contact first.
	Seeds []netip.AddrPort
	// DataFolder holds the log of a control host.
	DataFolder string
	// Bootstrap allows a control host that is one of the seeds to bootstrap the
	// log.
	Bootstrap bool
	// AnnounceInterval is the interval between the announcements of a server.
	AnnounceInterval clock.Millis
	// GracePeriod is the time from the request to stop until the process is killed.
	GracePeriod clock.Millis
	// AddressReuseDelay is the minimum time between the end of a server and the
	// start of another one at the same address.
	AddressReuseDelay clock.Millis
	// Off holds the mechanisms of an entry host that are switched off.
	Off tune.Off
	// Centres are the names of all data centres, for control hosts.
	Centres []string
	// RepeatWindow is how long a caller may repeat an order whose answer was lost.
	RepeatWindow clock.Millis
	// LinkRate is the rate of the host's link in bits a second, or 0 if it is unknown.
	LinkRate int64
	// MemoryLimit is the memory in bytes above which the process is killed, or 0 if there
	// is no limit.
	MemoryLimit int64
	// MaxLosses is the number of control hosts that may be lost at once.
	MaxLosses int
	// RecoveryTime is the time that a control host has, after a start, before
	// another one may be lost.
	RecoveryTime clock.Millis
}

// CheckEntry returns an error if s lacks a setting that an entry host needs.
func (s *Settings) CheckEntry() error {
	return s.check(map[string]netip.AddrPort{"client packets": s.Packets, "readiness": s.Ready})
}

// CheckControl returns an error if s lacks a setting that a control host needs.
func (s *Settings) CheckControl() error {
	if s.DataFolder == "" {
		return fmt.Errorf("%w: data folder is missing", ErrInvalidSettings)
	}
	if s.MaxLosses < 0 || s.RecoveryTime <= 0 {
		return fmt.Errorf("%w: number of losses is below 0, or recovery time is not above 0", ErrInvalidSettings)
	}
	return s.check(map[string]netip.AddrPort{"API": s.API, "peers": s.Peer})
}

func (s *Settings) check(required map[string]netip.AddrPort) error {
	for name, address := range required {
		if !address.IsValid() || address.Port() == 0 {
			return fmt.Errorf("%w: address for %s is missing or has port 0", ErrInvalidSettings, name)
		}
	}
	if s.Name == "" || s.AnnounceInterval <= 0 || s.GracePeriod <= 0 {
		return fmt.Errorf("%w: name is missing, or announcement interval or grace period is not above 0", ErrInvalidSettings)
	}
	return nil
}

// SeedAddresses returns the seeds as strings.
func (s *Settings) SeedAddresses() []string {
	out := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		out = append(out, seed.String())
	}
	return out
}
