package node

import (
	"fmt"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/sign"
	"monsooncleat.example/monsooncleat/internal/conf/strict"
	"monsooncleat.example/monsooncleat/internal/wire/frame"
)

const (
	defaultMaxFlows    = 500_000
	defaultMaxRequests = 100_000
	defaultDrain       = 10 * clock.Second
)

// Entry is the settings file of an entry host.
type Entry struct {
	Name       string `toml:"name"`
	DataCentre string `toml:"dataCentre"`
	// Fabric takes Geneve datagrams from the fabric and from other entry hosts.
	Fabric strict.Endpoint `toml:"fabric"`
	// Answers takes the answers of backend servers to requests.
	Answers strict.Endpoint `toml:"answers"`
	// Peer takes frames from other entry hosts.
	Peer strict.Endpoint `toml:"peer"`
	// Announce takes the announcements of backend servers over HTTP.
	Announce strict.Endpoint `toml:"announce"`
	Admin    strict.Endpoint `toml:"admin"`
	// ReturnPort is the port of the fabric's own endpoints, when it is not
	// the port that their datagrams come from.
	ReturnPort uint16 `toml:"returnPort"`
	KeyFile    string `toml:"keyFile"`
	// DataFolder keeps the release in force over restarts, if it is set.
	DataFolder  string      `toml:"dataFolder"`
	MaxFlows    int         `toml:"maxFlows"`
	MaxRequests int         `toml:"maxRequests"`
	Drain       strict.Span `toml:"drain"`
	// Seeds are the peer addresses of other entry hosts of the data centre.
	Seeds     []strict.Endpoint `toml:"seeds"`
	Controls  []strict.Endpoint `toml:"controls"`
	Operators []Operator        `toml:"operator"`

	key frame.Key
}

// LoadEntry reads and checks the settings of an entry host.
func LoadEntry(path string) (*Entry, error) {
	var s Entry
	if err := strict.Load(path, &s); err != nil {
		return nil, err
	}
	if s.MaxFlows == 0 {
		s.MaxFlows = defaultMaxFlows
	}
	if s.MaxRequests == 0 {
		s.MaxRequests = defaultMaxRequests
	}
	s.Drain = strict.Span(orSpan(s.Drain, defaultDrain))
	var err error
	s.key, err = loadKey(path, s.KeyFile)
	return &s, err
}

// Check implements strict.Checked.
func (s *Entry) Check(c *strict.Checker) {
	checkName(c, "name", s.Name)
	checkName(c, "dataCentre", s.DataCentre)
	checkEndpoint(c, "fabric", s.Fabric)
	checkEndpoint(c, "answers", s.Answers)
	checkEndpoint(c, "peer", s.Peer)
	checkEndpoint(c, "announce", s.Announce)
	checkEndpoint(c, "admin", s.Admin)
	c.Check(s.KeyFile != "", "keyFile", "is missing")
	c.Check(s.MaxFlows >= 0, "maxFlows", "must not be negative")
	c.Check(s.MaxRequests >= 0, "maxRequests", "must not be negative")
	c.Check(len(s.Controls) > 0, "controls", "is missing; want the addresses of the control hosts")
	for i, e := range s.Seeds {
		c.Check(e.AddrPort != s.Peer.AddrPort, "seeds", "entry %d is this host itself", i)
	}
	checkOperators(c, s.Operators)
	s.checkDistinct(c)
}

func (s *Entry) checkDistinct(c *strict.Checker) {
	seen := map[string]string{}
	udp := map[string]strict.Endpoint{"fabric": s.Fabric, "answers": s.Answers}
	tcp := map[string]strict.Endpoint{"peer": s.Peer, "announce": s.Announce, "admin": s.Admin}
	for proto, fields := range map[string]map[string]strict.Endpoint{"udp": udp, "tcp": tcp} {
		for field, e := range fields {
			at := fmt.Sprintf("%s %s", proto, e)
			c.Check(!e.IsValid() || seen[at] == "", field, "uses the same address as another listener")
			seen[at] = field
		}
	}
}

// Key returns the key that signs frames.
func (s *Entry) Key() frame.Key { return s.key }

// Ring returns the operators' public keys.
func (s *Entry) Ring() sign.Ring { return ring(s.Operators) }
