package state

import (
	"maps"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"monsooncleat.example/monsooncleat/internal/bundle/chain"
	"monsooncleat.example/monsooncleat/internal/bundle/sign"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
)

const (
	// keptResults is how many command ids are remembered for resends.
	keptResults = 4096
	// keptVersions is how many approved versions keep their text.
	keptVersions = 64
	// keptReleases is how many releases of a data centre are kept.
	keptReleases = 64
)

// Candidate is a published bundle that no approval has chosen yet.
type Candidate struct {
	Digest spec.Digest `msgpack:"digest"`
	Text   string      `msgpack:"text"`
}

// Approved is the one bundle that holds a number.
type Approved struct {
	Digest    spec.Digest `msgpack:"digest"`
	Text      string      `msgpack:"text"`
	Operator  string      `msgpack:"operator"`
	Signature []byte      `msgpack:"signature"`
}

// Rollout is the latest roll-out.
type Rollout struct {
	Version spec.Version `msgpack:"version"`
	// Stage is the next stage to be put in force.
	Stage  int        `msgpack:"stage"`
	Stages [][]string `msgpack:"stages"`
	Halted bool       `msgpack:"halted"`
	Reason string     `msgpack:"reason"`
}

// Finished reports whether each stage is in force.
func (r *Rollout) Finished() bool { return r.Stage >= len(r.Stages) }

// data is the whole state in its stored form.
type data struct {
	Candidates map[spec.Version][]Candidate `msgpack:"candidates"`
	Approved   map[spec.Version]*Approved   `msgpack:"approved"`
	Highest    spec.Version                 `msgpack:"highest"`
	Rollout    Rollout                      `msgpack:"rollout"`
	Releases   map[string][]chain.Release   `msgpack:"releases"`
	Results    map[string]Result            `msgpack:"results"`
	Order      []string                     `msgpack:"order"`
}

// Machine applies committed commands. It is deterministic: equal logs give
// equal states on all control hosts.
type Machine struct {
	keys sign.Ring
	data data
}

// New returns an empty Machine that accepts the operators of keys.
func New(keys sign.Ring) *Machine {
	m := &Machine{keys: keys}
	m.data.init()
	return m
}

func (d *data) init() {
	if d.Candidates == nil {
		d.Candidates = map[spec.Version][]Candidate{}
	}
	if d.Approved == nil {
		d.Approved = map[spec.Version]*Approved{}
	}
	if d.Releases == nil {
		d.Releases = map[string][]chain.Release{}
	}
	if d.Results == nil {
		d.Results = map[string]Result{}
	}
}

// Snapshot returns the stored form of the state.
func (m *Machine) Snapshot() ([]byte, error) {
	b, err := msgpack.Marshal(&m.data)
	return b, eris.Wrap(err, "encode state")
}

// Restore replaces the state by a stored form.
func (m *Machine) Restore(b []byte) error {
	var d data
	if len(b) > 0 {
		if err := msgpack.Unmarshal(b, &d); err != nil {
			return eris.Wrap(err, "decode state")
		}
	}
	d.init()
	m.data = d
	return nil
}

// Result returns the answer that the command with this id got before.
func (m *Machine) Result(id string) (Result, bool) {
	r, ok := m.data.Results[id]
	return r, ok
}

// Apply performs one command. A command id that was seen before gets its first
// answer again and changes nothing.
func (m *Machine) Apply(c *Command) Result {
	if r, ok := m.data.Results[c.ID]; ok {
		return r
	}
	r := m.perform(c)
	if r.Version == 0 {
		r.Version = c.Version
	}
	if r.Digest == "" {
		r.Digest = c.Digest
	}
	if c.ID != "" {
		m.remember(c.ID, r)
	}
	return r
}

func (m *Machine) remember(id string, r Result) {
	m.data.Results[id] = r
	m.data.Order = append(m.data.Order, id)
	if len(m.data.Order) > keptResults {
		delete(m.data.Results, m.data.Order[0])
		m.data.Order = slices.Delete(m.data.Order, 0, 1)
	}
}

func (m *Machine) perform(c *Command) Result {
	if fromOperator(c.Kind) {
		if err := m.keys.Verify(c.Operator, c.SignedBytes(), c.Signature); err != nil {
			return Result{Code: Forbidden, Text: err.Error()}
		}
	}
	switch c.Kind {
	case Publish:
		return m.publish(c)
	case Approve:
		return m.approve(c)
	case Roll:
		return m.roll(c)
	case Resume:
		return m.resume(c)
	case Step:
		return m.step(c)
	case Halt:
		return m.halt(c)
	default:
		return Result{Code: Invalid, Text: "unknown command"}
	}
}

func fromOperator(k Kind) bool { return k != Step && k != Halt }

func (m *Machine) publish(c *Command) Result {
	b, err := spec.Parse("bundle", c.Text)
	if err != nil {
		return Result{Code: Invalid, Text: err.Error()}
	}
	version, digest := b.Version(), b.Digest()
	if c.Version != version || c.Digest != digest {
		return Result{Code: Invalid, Text: "version or digest does not match the text"}
	}
	if won := m.data.Approved[version]; won != nil {
		if won.Digest == digest {
			return Result{Code: Done}
		}
		return Result{Code: Conflict, Winner: won.Digest}
	}
	if version <= m.data.Highest {
		return Result{Code: Stale, Text: "a newer version is approved"}
	}
	same := func(o Candidate) bool { return o.Digest == digest }
	if !slices.ContainsFunc(m.data.Candidates[version], same) {
		m.data.Candidates[version] = append(m.data.Candidates[version], Candidate{digest, c.Text})
	}
	return Result{Code: Done}
}

func (m *Machine) approve(c *Command) Result {
	if won := m.data.Approved[c.Version]; won != nil {
		if won.Digest == c.Digest {
			return Result{Code: Done}
		}
		return Result{Code: Conflict, Winner: won.Digest}
	}
	if c.Version <= m.data.Highest {
		return Result{Code: Stale, Text: "a newer version is approved"}
	}
	for _, o := range m.data.Candidates[c.Version] {
		if o.Digest == c.Digest {
			m.accept(c, o)
			return Result{Code: Done}
		}
	}
	return Result{Code: Missing, Text: "no such bundle is published"}
}

func (m *Machine) accept(c *Command, o Candidate) {
	m.data.Approved[c.Version] = &Approved{o.Digest, o.Text, c.Operator, c.Signature}
	m.data.Highest = c.Version
	maps.DeleteFunc(m.data.Candidates, func(v spec.Version, _ []Candidate) bool { return v <= c.Version })
	versions := slices.Sorted(maps.Keys(m.data.Approved))
	for _, v := range versions[:max(0, len(versions)-keptVersions)] {
		if !m.inForce(v) {
			delete(m.data.Approved, v)
		}
	}
}

func (m *Machine) inForce(v spec.Version) bool {
	if m.data.Rollout.Version == v {
		return true
	}
	for _, rs := range m.data.Releases {
		if len(rs) > 0 && rs[len(rs)-1].Version == v {
			return true
		}
	}
	return false
}

func (m *Machine) roll(c *Command) Result {
	a := m.data.Approved[c.Version]
	if a == nil || a.Digest != c.Digest {
		return Result{Code: Missing, Text: "no such bundle is approved"}
	}
	if c.Version < m.data.Rollout.Version {
		return Result{Code: Stale, Text: "a newer version is being rolled out"}
	}
	if c.Version == m.data.Rollout.Version {
		return Result{Code: Done}
	}
	b, err := spec.Parse("bundle", a.Text)
	if err != nil {
		return Result{Code: Invalid, Text: err.Error()}
	}
	m.data.Rollout = Rollout{Version: c.Version, Stages: b.Stages()}
	return Result{Code: Done}
}

func (m *Machine) resume(c *Command) Result {
	if m.data.Rollout.Version != c.Version {
		return Result{Code: Missing, Text: "no roll-out of this version"}
	}
	m.data.Rollout.Halted = false
	m.data.Rollout.Reason = ""
	return Result{Code: Done}
}

func (m *Machine) step(c *Command) Result {
	r := &m.data.Rollout
	if r.Version != c.Version || r.Stage != c.Stage || r.Halted || r.Finished() {
		return Result{Code: Stale}
	}
	for _, centre := range r.Stages[r.Stage] {
		m.release(centre, c.Version)
	}
	r.Stage++
	return Result{Code: Done}
}

func (m *Machine) release(centre string, version spec.Version) {
	a := m.data.Approved[version]
	rs := m.data.Releases[centre]
	var last chain.Release
	if len(rs) > 0 {
		last = rs[len(rs)-1]
	}
	next := chain.Release{
		Centre: centre, Seq: last.Seq + 1, Version: version, Digest: a.Digest,
		Operator: a.Operator, Signature: a.Signature, Prev: last.Hash,
	}
	next.Hash = next.Sum()
	rs = append(rs, next)
	m.data.Releases[centre] = rs[max(0, len(rs)-keptReleases):]
}

func (m *Machine) halt(c *Command) Result {
	r := &m.data.Rollout
	if r.Version != c.Version || r.Finished() {
		return Result{Code: Stale}
	}
	r.Halted = true
	r.Reason = c.Reason
	return Result{Code: Done}
}

// Rollout returns the latest roll-out.
func (m *Machine) Rollout() Rollout { return m.data.Rollout }

// Highest returns the highest approved version.
func (m *Machine) Highest() spec.Version { return m.data.Highest }

// Approved returns the bundle that holds version, or nil.
func (m *Machine) Approved(version spec.Version) *Approved { return m.data.Approved[version] }

// Releases returns the kept releases of a data centre, oldest first.
func (m *Machine) Releases(centre string) []chain.Release { return m.data.Releases[centre] }

// Centres returns the data centres that have had a release, sorted.
func (m *Machine) Centres() []string { return slices.Sorted(maps.Keys(m.data.Releases)) }

// TextOf returns the text of an approved bundle by digest, or "".
func (m *Machine) TextOf(digest spec.Digest) string {
	for _, a := range m.data.Approved {
		if a.Digest == digest {
			return a.Text
		}
	}
	return ""
}
