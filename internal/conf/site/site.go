// Package site holds the settings of the hosts that route flows by token and of
// the control hosts of their directory.
package site

import (
	"errors"
	"fmt"
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// ErrSettings is returned for settings that lack what a host needs.
var ErrSettings = errors.New("settings are incomplete")

// Host is the settings of one process.
type Host struct {
	Name   string
	Centre string
	// Packets receives the callers' packets on an entry host. Its port is also
	// the one at which callers receive resets.
	Packets netip.AddrPort
	// Ready serves the readiness of an entry host.
	Ready netip.AddrPort
	// API serves announcements and configuration on a control host.
	API netip.AddrPort
	// Peer receives messages from other hosts on a control host.
	Peer netip.AddrPort
	// Bind is where a control host listens for other hosts when they reach it at
	// Peer through a proxy. It is Peer otherwise.
	Bind netip.AddrPort
	// Admin serves metrics and state.
	Admin netip.AddrPort
	// Seeds are the Peer addresses of control hosts to ask first.
	Seeds []netip.AddrPort
	// DataFolder holds the log of a control host.
	DataFolder string
	// Found allows a control host that is among the seeds to found the log.
	Found bool
	// Announcements is the span between two announcements of a server.
	Announcements clock.Millis
	// Grace is the span between the request to stop and the kill.
	Grace clock.Millis
	// AddressReuse is the least span between the end of a server and the start
	// of another one at its address.
	AddressReuse clock.Millis
}

// CheckEntry returns what an entry host misses in h, or nil.
func (h *Host) CheckEntry() error {
	return h.check(map[string]netip.AddrPort{"packets": h.Packets, "ready": h.Ready})
}

// CheckControl returns what a control host misses in h, or nil.
func (h *Host) CheckControl() error {
	if h.DataFolder == "" {
		return fmt.Errorf("%w: data folder", ErrSettings)
	}
	return h.check(map[string]netip.AddrPort{"api": h.API, "peer": h.Peer})
}

func (h *Host) check(needed map[string]netip.AddrPort) error {
	for name, address := range needed {
		if !address.IsValid() || address.Port() == 0 {
			return fmt.Errorf("%w: address %s", ErrSettings, name)
		}
	}
	if h.Name == "" || h.Announcements <= 0 || h.Grace <= 0 {
		return fmt.Errorf("%w: name, announcement span or grace", ErrSettings)
	}
	return nil
}

// SeedAddresses returns the seeds as text.
func (h *Host) SeedAddresses() []string {
	out := make([]string, 0, len(h.Seeds))
	for _, s := range h.Seeds {
		out = append(out, s.String())
	}
	return out
}
