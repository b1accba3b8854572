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
	// Fabric receives Geneve datagrams from the network fabric and from other entry
	// hosts.
	Fabric strict.Endpoint `toml:"fabric"`
	// Answers receives the responses of backend servers to requests.
	Answers strict.Endpoint `toml:"answers"`
	// Peer accepts frames from other entry hosts.
	Peer strict.Endpoint `toml:"peer"`
	// Announce accepts the announcements of backend servers over HTTP.
	Announce strict.Endpoint `toml:"announce"`
	// Admin serves metrics and state dumps.
	Admin strict.Endpoint `toml:"admin"`
	// ReturnPort is the port at which the fabric's endpoints receive datagrams. If
	// it is 0, datagrams go back to the source port of the received ones.
	ReturnPort uint16 `toml:"returnPort"`
	// KeyFile is the path of the file with the key that all hosts share.
	KeyFile string `toml:"keyFile"`
	// DataFolder stores the active release across restarts. It is optional.
	DataFolder string `toml:"dataFolder"`
	// MaxFlows and MaxRequests limit the flows and requests that the host keeps
	// state for. Zero selects the default.
	MaxFlows    int `toml:"maxFlows"`
	MaxRequests int `toml:"maxRequests"`
	// Drain is the maximum time for which a stopping host hands over its flows and
	// requests to other hosts and finishes the rest. Zero selects the default.
	Drain strict.Span `toml:"drain"`
	// Seeds are the peer addresses of other entry hosts in the same data centre.
	Seeds []strict.Endpoint `toml:"seeds"`
	// Controls are the addresses of the control hosts.
	Controls  []strict.Endpoint `toml:"controls"`
	Operators []Operator        `toml:"operator"`

	sharedKey frame.Key
}

// LoadEntry reads and validates the settings of an entry host, applies defaults
// and reads the shared key.
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
	s.Drain = strict.Span(durationOr(s.Drain, defaultDrain))
	var err error
	s.sharedKey, err = loadSharedKey(path, s.KeyFile)
	return &s, err
}

// Validate validates the settings and records errors in c.
func (s *Entry) Validate(c *strict.Checker) {
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
		c.Check(e.AddrPort != s.Peer.AddrPort, "seeds", "seed %d is the peer address of this host", i)
	}
	checkOperators(c, s.Operators)
	s.checkListeners(c)
}

// checkListeners reports listeners of the same protocol that share an address.
func (s *Entry) checkListeners(c *strict.Checker) {
	seen := map[string]string{}
	udp := map[string]strict.Endpoint{"fabric": s.Fabric, "answers": s.Answers}
	tcp := map[string]strict.Endpoint{"peer": s.Peer, "announce": s.Announce, "admin": s.Admin}
	for proto, fields := range map[string]map[string]strict.Endpoint{"udp": udp, "tcp": tcp} {
		for field, e := range fields {
			listener := fmt.Sprintf("%s %s", proto, e)
			c.Check(!e.IsValid() || seen[listener] == "", field, "uses the same address as another listener")
			seen[listener] = field
		}
	}
}

// Key returns the shared key, which authenticates frames.
func (s *Entry) Key() frame.Key { return s.sharedKey }

// OperatorKeys returns the public keys of the operators by name.
func (s *Entry) OperatorKeys() sign.Keyring { return operatorKeys(s.Operators) }
