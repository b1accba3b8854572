// Package spec parses and validates bundles. A bundle is one TOML document in
// which the operators describe the data centres, and the services with their
// addresses and limits.
package spec

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/conf/strict"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

// Digest is the SHA-256 of a bundle's text in 64 hexadecimal digits.
type Digest string

// DigestOf returns the digest of text.
func DigestOf(text string) Digest {
	sum := sha256.Sum256([]byte(text))
	return Digest(hex.EncodeToString(sum[:]))
}

// Version is the version number of a bundle. Operators increase it with each
// change.
type Version uint32

// Kind is the type of traffic that a service takes.
type Kind string

// Kinds of services.
const (
	// Stream services take long-lived flows with an opaque payload. Servers reply
	// to clients directly.
	Stream Kind = "stream"
	// Request services take datagrams that carry an envelope and get one response
	// each.
	Request Kind = "request"
)

// Defaults and limits of optional fields. The sizes of the placement table are
// primes.
const (
	defaultTableSize      = 4093
	maxTableSize          = 65521
	defaultIdleTimeout    = 15 * clock.Minute
	defaultDedupWindow    = clock.Minute
	defaultMaxWait        = 5 * clock.Second
	defaultRetryShare     = 0.1
	defaultSlots          = 64
	defaultMaxConnections = 100_000
)

// Bundle is a parsed and validated bundle.
type Bundle struct {
	version   Version
	digest    Digest
	text      string
	centres   []string
	services  []*Service
	byAddress map[Address]*Service
	stages    [][]string
	maxWait   clock.Millis
}

// Address is the protocol, IP address and port that clients send to.
type Address struct {
	Proto    inner.Proto
	AddrPort netip.AddrPort
}

// Service is one service of a bundle.
type Service struct {
	name           string
	kind           Kind
	addresses      []Address
	centres        []string
	tableSize      int
	slots          int
	maxConnections int
	idleTimeout    clock.Millis
	dedupWindow    clock.Millis
	retryShare     float64
}

// file is the TOML document before validation.
type file struct {
	Version     Version         `toml:"version"`
	Roll        rolloutTable    `toml:"roll"`
	DataCentres []centreTable   `toml:"dataCentre"`
	Services    []*serviceTable `toml:"service"`
}

type rolloutTable struct {
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
	// Buckets is the size of the placement table.
	Buckets int         `toml:"buckets"`
	Idle    strict.Span `toml:"idle"`
	// Ledger is the deduplication window.
	Ledger     strict.Span `toml:"ledger"`
	RetryShare *float64    `toml:"retryShare"`
	Limits     limitsTable `toml:"limits"`
}

type limitsTable struct {
	Slots       int `toml:"slots"`
	Connections int `toml:"connections"`
}

// Parse parses and validates text. Name is the file name that errors show. The
// error is that of strict.Decode and lists each problem with its line and field.
func Parse(name, text string) (*Bundle, error) {
	var f file
	if err := strict.Decode(name, []byte(text), &f); err != nil {
		return nil, err
	}
	b := &Bundle{
		version: f.Version, digest: DigestOf(text), text: text,
		byAddress: map[Address]*Service{}, maxWait: spanOrDefault(f.Roll.MaxWait, defaultMaxWait),
	}
	for _, c := range f.DataCentres {
		b.centres = append(b.centres, c.Name)
	}
	b.stages = f.Roll.Stages
	if len(b.stages) == 0 {
		b.stages = [][]string{b.centres}
	}
	for _, t := range f.Services {
		b.addService(t)
	}
	return b, nil
}

func (b *Bundle) addService(t *serviceTable) {
	s := &Service{
		name: t.Name, kind: t.Kind, centres: t.DataCentres,
		tableSize:      intOrDefault(t.Buckets, defaultTableSize),
		slots:          intOrDefault(t.Limits.Slots, defaultSlots),
		maxConnections: intOrDefault(t.Limits.Connections, defaultMaxConnections),
		idleTimeout:    spanOrDefault(t.Idle, defaultIdleTimeout),
		dedupWindow:    spanOrDefault(t.Ledger, defaultDedupWindow),
		retryShare:     defaultRetryShare,
	}
	if t.RetryShare != nil {
		s.retryShare = *t.RetryShare
	}
	if len(s.centres) == 0 {
		s.centres = b.centres
	}
	for _, e := range t.Addresses {
		a := Address{protocolOf(t), e.AddrPort}
		s.addresses = append(s.addresses, a)
		b.byAddress[a] = s
	}
	b.services = append(b.services, s)
}

func protocolOf(t *serviceTable) inner.Proto {
	if t.Protocol == "tcp" {
		return inner.TCP
	}
	return inner.UDP
}

func intOrDefault(v, def int) int {
	if v == 0 {
		return def
	}
	return v
}

func spanOrDefault(v strict.Span, def clock.Millis) clock.Millis {
	if v == 0 {
		return def
	}
	return v.Millis()
}

// Version returns the bundle's version number.
func (b *Bundle) Version() Version { return b.version }

// Digest returns the digest of the bundle's text.
func (b *Bundle) Digest() Digest { return b.digest }

// Text returns the TOML document that the bundle was parsed from.
func (b *Bundle) Text() string { return b.text }

// Centres returns the names of the data centres.
func (b *Bundle) Centres() []string { return b.centres }

// Services returns the services in the order of the text.
func (b *Bundle) Services() []*Service { return b.services }

// Stages returns the groups of data centres that a roll-out goes through, in
// order. The default is one stage with all data centres.
func (b *Bundle) Stages() [][]string { return b.stages }

// MaxWait returns how long a roll-out waits for data centres of the previous
// stage that have not reported the version in force.
func (b *Bundle) MaxWait() clock.Millis { return b.maxWait }

// Lookup returns the service with address a, or nil.
func (b *Bundle) Lookup(a Address) *Service { return b.byAddress[a] }

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

// Addresses returns the addresses that clients send to.
func (s *Service) Addresses() []Address { return s.addresses }

// Centres returns the names of the data centres that serve the service.
func (s *Service) Centres() []string { return s.centres }

// TableSize returns the size of the placement table, a prime number.
func (s *Service) TableSize() int { return s.tableSize }

// Slots returns the maximum number of requests in flight to one server.
func (s *Service) Slots() int { return s.slots }

// MaxConnections returns the maximum number of open flows of one server.
func (s *Service) MaxConnections() int { return s.maxConnections }

// IdleTimeout returns the time without packets after which the state of a flow
// is dropped.
func (s *Service) IdleTimeout() clock.Millis { return s.idleTimeout }

// DedupWindow returns how long request ids are kept to detect duplicates.
func (s *Service) DedupWindow() clock.Millis { return s.dedupWindow }

// RetryShare returns the retry budget as a fraction of new requests, from 0 to
// 1.
func (s *Service) RetryShare() float64 { return s.retryShare }
