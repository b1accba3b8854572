// Package spec defines the bundle: the operators' description of services,
// their addresses and limits, and the data centres, as one TOML text.
package spec

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/conf/strict"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

// Digest is the SHA-256 of a bundle's text in hexadecimal digits.
type Digest string

// DigestOf returns the digest of text.
func DigestOf(text string) Digest {
	sum := sha256.Sum256([]byte(text))
	return Digest(hex.EncodeToString(sum[:]))
}

// Version is the number of a bundle. Operators raise it with each change.
type Version uint32

// Kind tells how a service's traffic is treated.
type Kind string

// Kinds of service.
const (
	// Stream flows are long and opaque; the server answers the caller directly.
	Stream Kind = "stream"
	// Request datagrams carry an envelope and get one answer each.
	Request Kind = "request"
)

// Defaults and bounds of optional fields.
const (
	defaultBuckets     = 4093
	maxBuckets         = 65521
	defaultIdle        = 15 * clock.Minute
	defaultLedger      = clock.Minute
	defaultMaxWait     = 5 * clock.Second
	defaultRetryShare  = 0.1
	defaultSlots       = 64
	defaultConnections = 100_000
)

// Bundle is a checked bundle.
type Bundle struct {
	version  Version
	digest   Digest
	text     string
	centres  []string
	services []*Service
	byAddr   map[Address]*Service
	stages   [][]string
	maxWait  clock.Millis
}

// Address is a protocol, an IP address and a port that callers use.
type Address struct {
	Proto    inner.Proto
	AddrPort netip.AddrPort
}

// Service is one service of a bundle.
type Service struct {
	name        string
	kind        Kind
	addresses   []Address
	centres     []string
	buckets     int
	slots       int
	connections int
	idle        clock.Millis
	ledger      clock.Millis
	retryShare  float64
}

// file is the TOML form.
type file struct {
	Version     Version         `toml:"version"`
	Roll        rollTable       `toml:"roll"`
	DataCentres []centreTable   `toml:"dataCentre"`
	Services    []*serviceTable `toml:"service"`
}

type rollTable struct {
	Stages  [][]string  `toml:"stages"`
	MaxWait strict.Span `toml:"maxWait"`
}

type centreTable struct {
	Name string `toml:"name"`
}

type serviceTable struct {
	Name        string            `toml:"name"`
	Kind        Kind              `toml:"kind"`
	Protocol    string            `toml:"protocol"`
	Addresses   []strict.Endpoint `toml:"addresses"`
	DataCentres []string          `toml:"dataCentres"`
	Buckets     int               `toml:"buckets"`
	Idle        strict.Span       `toml:"idle"`
	Ledger      strict.Span       `toml:"ledger"`
	RetryShare  *float64          `toml:"retryShare"`
	Limits      limitsTable       `toml:"limits"`
}

type limitsTable struct {
	Slots       int `toml:"slots"`
	Connections int `toml:"connections"`
}

// Parse checks text and returns the bundle. The error is a strict.Faults.
func Parse(name, text string) (*Bundle, error) {
	var f file
	if err := strict.Decode(name, []byte(text), &f); err != nil {
		return nil, err
	}
	b := &Bundle{
		version: f.Version, digest: DigestOf(text), text: text,
		byAddr: map[Address]*Service{}, maxWait: orSpan(f.Roll.MaxWait, defaultMaxWait),
	}
	for _, c := range f.DataCentres {
		b.centres = append(b.centres, c.Name)
	}
	b.stages = f.Roll.Stages
	if len(b.stages) == 0 {
		b.stages = [][]string{b.centres}
	}
	for _, t := range f.Services {
		b.add(t)
	}
	return b, nil
}

func (b *Bundle) add(t *serviceTable) {
	s := &Service{
		name: t.Name, kind: t.Kind, centres: t.DataCentres,
		buckets:     orInt(t.Buckets, defaultBuckets),
		slots:       orInt(t.Limits.Slots, defaultSlots),
		connections: orInt(t.Limits.Connections, defaultConnections),
		idle:        orSpan(t.Idle, defaultIdle),
		ledger:      orSpan(t.Ledger, defaultLedger),
		retryShare:  defaultRetryShare,
	}
	if t.RetryShare != nil {
		s.retryShare = *t.RetryShare
	}
	if len(s.centres) == 0 {
		s.centres = b.centres
	}
	for _, e := range t.Addresses {
		a := Address{protoOf(t), e.AddrPort}
		s.addresses = append(s.addresses, a)
		b.byAddr[a] = s
	}
	b.services = append(b.services, s)
}

func protoOf(t *serviceTable) inner.Proto {
	if t.Protocol == "tcp" {
		return inner.TCP
	}
	return inner.UDP
}

func orInt(v, def int) int {
	if v == 0 {
		return def
	}
	return v
}

func orSpan(v strict.Span, def clock.Millis) clock.Millis {
	if v == 0 {
		return def
	}
	return v.Millis()
}

// Version returns the bundle's number.
func (b *Bundle) Version() Version { return b.version }

// Digest returns the digest of the bundle's text.
func (b *Bundle) Digest() Digest { return b.digest }

// Text returns the bundle as its operator wrote it.
func (b *Bundle) Text() string { return b.text }

// Centres returns the names of the data centres.
func (b *Bundle) Centres() []string { return b.centres }

// Services returns the services in the order of the text.
func (b *Bundle) Services() []*Service { return b.services }

// Stages returns the groups of data centres in the order of roll-out.
func (b *Bundle) Stages() [][]string { return b.stages }

// MaxWait returns how long a roll-out waits for a data centre that is not
// heard from.
func (b *Bundle) MaxWait() clock.Millis { return b.maxWait }

// Lookup returns the service that owns a, or nil.
func (b *Bundle) Lookup(a Address) *Service { return b.byAddr[a] }

// Service returns the service called name, or nil.
func (b *Bundle) Service(name string) *Service {
	for _, s := range b.services {
		if s.name == name {
			return s
		}
	}
	return nil
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Kind returns the service's kind.
func (s *Service) Kind() Kind { return s.kind }

// Addresses returns the addresses that callers use.
func (s *Service) Addresses() []Address { return s.addresses }

// Centres returns the data centres that serve the service.
func (s *Service) Centres() []string { return s.centres }

// Buckets returns the size of the placement table.
func (s *Service) Buckets() int { return s.buckets }

// Slots returns the most requests that one server may run at once.
func (s *Service) Slots() int { return s.slots }

// Connections returns the most flows that one server may hold.
func (s *Service) Connections() int { return s.connections }

// Idle returns the span without packets after which a flow is forgotten.
func (s *Service) Idle() clock.Millis { return s.idle }

// Ledger returns the span for which request ids are remembered.
func (s *Service) Ledger() clock.Millis { return s.ledger }

// RetryShare returns the retries allowed as a share of fresh requests.
func (s *Service) RetryShare() float64 { return s.retryShare }
