package node

import (
	"fmt"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/bundle/sign"
	"monsooncleat.example/monsooncleat/internal/conf/strict"
	"monsooncleat.example/monsooncleat/internal/wire/frame"
)

const (
	defaultSnapshotEvery = 1000 // committed entries
	maxControlHosts      = 7
)

// ControlHost is one control host of the cluster.
type ControlHost struct {
	Name    string          `toml:"name"`
	Address strict.Endpoint `toml:"address"`
	// Initial is set for the voters that bootstrap the replicated log.
	Initial bool `toml:"initial"`
}

// Control is the settings file of a control host.
type Control struct {
	Name       string `toml:"name"`
	DataCentre string `toml:"dataCentre"`
	// Admin serves metrics and state dumps.
	Admin strict.Endpoint `toml:"admin"`
	// DataFolder holds the replicated log.
	DataFolder string `toml:"dataFolder"`
	// KeyFile is the path of the file with the key that all hosts share.
	KeyFile string `toml:"keyFile"`
	// SnapshotEvery is the number of committed log entries between snapshots.
	// Zero selects the default.
	SnapshotEvery uint64 `toml:"snapshotEvery"`
	// Heartbeat is the heartbeat interval of the Raft log, Election its election
	// timeout. Zero selects the default.
	Heartbeat strict.Span `toml:"heartbeat"`
	Election  strict.Span `toml:"election"`
	// Hosts are all control hosts, this one included.
	Hosts     []ControlHost `toml:"control"`
	Operators []Operator    `toml:"operator"`

	sharedKey frame.Key
}

// LoadControl reads and validates the settings of a control host, applies defaults
// and reads the shared key.
func LoadControl(path string) (*Control, error) {
	var s Control
	if err := strict.Load(path, &s); err != nil {
		return nil, err
	}
	if s.SnapshotEvery == 0 {
		s.SnapshotEvery = defaultSnapshotEvery
	}
	var err error
	s.sharedKey, err = loadSharedKey(path, s.KeyFile)
	return &s, err
}

// Validate validates the settings and records errors in c.
func (s *Control) Validate(c *strict.Checker) {
	checkName(c, "name", s.Name)
	checkName(c, "dataCentre", s.DataCentre)
	checkEndpoint(c, "admin", s.Admin)
	c.Check(s.DataFolder != "", "dataFolder", "is missing")
	c.Check(s.KeyFile != "", "keyFile", "is missing")
	c.Check(len(s.Hosts) <= maxControlHosts, "control", "must not list more than %d hosts", maxControlHosts)
	t := s.Timing()
	c.Check(t.Election >= 3*t.Heartbeat, "election", "must be at least three heartbeat intervals")
	listsSelf := false
	seen := map[string]bool{}
	for i, h := range s.Hosts {
		path := fmt.Sprintf("control[%d]", i)
		checkName(c, path+".name", h.Name)
		checkEndpoint(c, path+".address", h.Address)
		c.Check(!seen[h.Name], path+".name", "duplicate name %q", h.Name)
		seen[h.Name] = true
		listsSelf = listsSelf || h.Name == s.Name
	}
	c.Check(listsSelf, "control", "must include this host, %q", s.Name)
	checkOperators(c, s.Operators)
}

// Timing returns the timing of the Raft log, with defaults for unset fields.
func (s *Control) Timing() raft.Timing {
	return raft.Timing{
		Heartbeat: durationOr(s.Heartbeat, raft.DefaultTiming.Heartbeat),
		Election:  durationOr(s.Election, raft.DefaultTiming.Election),
	}
}

// ListenAddress returns the address at which this host accepts frames from
// other hosts, or "" if the host is not in Hosts.
func (s *Control) ListenAddress() string {
	for _, h := range s.Hosts {
		if h.Name == s.Name {
			return h.Address.String()
		}
	}
	return ""
}

// Key returns the shared key, which authenticates frames.
func (s *Control) Key() frame.Key { return s.sharedKey }

// OperatorKeys returns the public keys of the operators by name.
func (s *Control) OperatorKeys() sign.Keyring { return operatorKeys(s.Operators) }
