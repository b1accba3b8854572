package node

import (
	"fmt"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/bundle/sign"
	"monsooncleat.example/monsooncleat/internal/conf/strict"
	"monsooncleat.example/monsooncleat/internal/wire/frame"
)

const (
	defaultSnapshotEvery = 1000
	maxControlHosts      = 7
)

// ControlHost names one control host.
type ControlHost struct {
	Name    string          `toml:"name"`
	Address strict.Endpoint `toml:"address"`
	// Initial says that the host is among the first voters.
	Initial bool `toml:"initial"`
}

// Control is the settings file of a control host.
type Control struct {
	Name          string          `toml:"name"`
	DataCentre    string          `toml:"dataCentre"`
	Admin         strict.Endpoint `toml:"admin"`
	DataFolder    string          `toml:"dataFolder"`
	KeyFile       string          `toml:"keyFile"`
	SnapshotEvery uint64          `toml:"snapshotEvery"`
	Heartbeat     strict.Span     `toml:"heartbeat"`
	Election      strict.Span     `toml:"election"`
	Hosts         []ControlHost   `toml:"control"`
	Operators     []Operator      `toml:"operator"`

	key frame.Key
}

// LoadControl reads and checks the settings of a control host.
func LoadControl(path string) (*Control, error) {
	var s Control
	if err := strict.Load(path, &s); err != nil {
		return nil, err
	}
	if s.SnapshotEvery == 0 {
		s.SnapshotEvery = defaultSnapshotEvery
	}
	var err error
	s.key, err = loadKey(path, s.KeyFile)
	return &s, err
}

// Check implements strict.Checked.
func (s *Control) Check(c *strict.Checker) {
	checkName(c, "name", s.Name)
	checkName(c, "dataCentre", s.DataCentre)
	checkEndpoint(c, "admin", s.Admin)
	c.Check(s.DataFolder != "", "dataFolder", "is missing")
	c.Check(s.KeyFile != "", "keyFile", "is missing")
	c.Check(len(s.Hosts) <= maxControlHosts, "control", "at most %d control hosts", maxControlHosts)
	t := s.Timing()
	c.Check(t.Election >= 3*t.Heartbeat, "election", "must be at least three heartbeats")
	self := false
	seen := map[string]bool{}
	for i, h := range s.Hosts {
		at := fmt.Sprintf("control[%d]", i)
		checkName(c, at+".name", h.Name)
		checkEndpoint(c, at+".address", h.Address)
		c.Check(!seen[h.Name], at+".name", "%q stands twice", h.Name)
		seen[h.Name] = true
		self = self || h.Name == s.Name
	}
	c.Check(self, "control", "must name this host, %q, too", s.Name)
	checkOperators(c, s.Operators)
}

// Timing returns the pace of the agreed log.
func (s *Control) Timing() raft.Timing {
	return raft.Timing{
		Heartbeat: orSpan(s.Heartbeat, raft.DefaultTiming.Heartbeat),
		Election:  orSpan(s.Election, raft.DefaultTiming.Election),
	}
}

// Listen returns the address at which this host takes frames.
func (s *Control) Listen() string {
	for _, h := range s.Hosts {
		if h.Name == s.Name {
			return h.Address.String()
		}
	}
	return ""
}

// Key returns the key that signs frames.
func (s *Control) Key() frame.Key { return s.key }

// Ring returns the operators' public keys.
func (s *Control) Ring() sign.Ring { return ring(s.Operators) }
