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
	// maxResults is how many results are kept to answer retried commands.
	maxResults = 4096
	// maxApproved is how many approved bundles are kept. Older ones stay while
	// they are in use.
	maxApproved = 64
	// maxReleases is how many releases are kept for each data centre.
	maxReleases = 64
)

// Candidate is a published bundle that is not approved.
type Candidate struct {
	Digest spec.Digest `msgpack:"digest"`
	Text   string      `msgpack:"text"`
}

// Approved is the bundle approved for a version, with the operator's signature.
type Approved struct {
	Digest    spec.Digest `msgpack:"digest"`
	Text      string      `msgpack:"text"`
	Operator  string      `msgpack:"operator"`
	Signature []byte      `msgpack:"signature"`
}

// Rollout is the state of a roll-out.
type Rollout struct {
	Version spec.Version `msgpack:"version"`
	// Stage is the index in Stages of the next stage to release to.
	Stage int `msgpack:"stage"`
	// Stages are groups of data centres.
	Stages [][]string `msgpack:"stages"`
	Halted bool       `msgpack:"halted"`
	// Reason tells operators why the roll-out was halted.
	Reason string `msgpack:"reason"`
}

// Finished reports whether the version is released to all stages.
func (r *Rollout) Finished() bool { return r.Stage >= len(r.Stages) }

// data is the state that snapshots hold.
type data struct {
	Candidates map[spec.Version][]Candidate `msgpack:"candidates"`
	Approved   map[spec.Version]*Approved   `msgpack:"approved"`
	// Highest is the highest approved version.
	Highest spec.Version `msgpack:"highest"`
	Rollout Rollout      `msgpack:"rollout"`
	// Releases holds the releases of each data centre, oldest first.
	Releases map[string][]chain.Release `msgpack:"releases"`
	// Results holds the results of operators' commands by command id.
	Results map[string]Result `msgpack:"results"`
	// ResultOrder holds the keys of Results, oldest first.
	ResultOrder []string `msgpack:"order"`
}

// Machine applies committed commands. It is deterministic, so that all control
// hosts reach the same state from the same log.
type Machine struct {
	keys sign.Keyring
	data data
}

// New returns an empty Machine that accepts commands signed with keys.
func New(keys sign.Keyring) *Machine {
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

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	b, err := msgpack.Marshal(&m.data)
	return b, eris.Wrap(err, "encode bundle state")
}

// Restore replaces the state by an encoded one. An empty b gives the empty
// state.
func (m *Machine) Restore(b []byte) error {
	var d data
	if len(b) > 0 {
		if err := msgpack.Unmarshal(b, &d); err != nil {
			return eris.Wrap(err, "decode bundle state")
		}
	}
	d.init()
	m.data = d
	return nil
}

// Result returns the kept result of the command with the given id, and whether
// there is one.
func (m *Machine) Result(id string) (Result, bool) {
	r, ok := m.data.Results[id]
	return r, ok
}

// Apply executes a command. If a result is kept for its id, Apply returns that
// result and changes nothing.
func (m *Machine) Apply(c *Command) Result {
	if r, ok := m.data.Results[c.ID]; ok {
		return r
	}
	r := m.execute(c)
	if r.Version == 0 {
		r.Version = c.Version
	}
	if r.Digest == "" {
		r.Digest = c.Digest
	}
	if c.ID != "" {
		m.storeResult(c.ID, r)
	}
	return r
}

func (m *Machine) storeResult(id string, r Result) {
	m.data.Results[id] = r
	m.data.ResultOrder = append(m.data.ResultOrder, id)
	if len(m.data.ResultOrder) > maxResults {
		delete(m.data.Results, m.data.ResultOrder[0])
		m.data.ResultOrder = slices.Delete(m.data.ResultOrder, 0, 1)
	}
}

func (m *Machine) execute(c *Command) Result {
	if isOperatorCommand(c.Kind) {
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

func isOperatorCommand(k Kind) bool { return k != Step && k != Halt }

func (m *Machine) publish(c *Command) Result {
	b, err := spec.Parse("bundle", c.Text)
	if err != nil {
		return Result{Code: Invalid, Text: err.Error()}
	}
	version, digest := b.Version(), b.Digest()
	if c.Version != version || c.Digest != digest {
		return Result{Code: Invalid, Text: "version or digest does not match the text"}
	}
	if approved := m.data.Approved[version]; approved != nil {
		if approved.Digest == digest {
			return Result{Code: Done}
		}
		return Result{Code: Conflict, ApprovedDigest: approved.Digest}
	}
	if version <= m.data.Highest {
		return Result{Code: Stale, Text: "a newer version is approved"}
	}
	sameDigest := func(c Candidate) bool { return c.Digest == digest }
	if !slices.ContainsFunc(m.data.Candidates[version], sameDigest) {
		m.data.Candidates[version] = append(m.data.Candidates[version], Candidate{digest, c.Text})
	}
	return Result{Code: Done}
}

func (m *Machine) approve(c *Command) Result {
	if approved := m.data.Approved[c.Version]; approved != nil {
		if approved.Digest == c.Digest {
			return Result{Code: Done}
		}
		return Result{Code: Conflict, ApprovedDigest: approved.Digest}
	}
	if c.Version <= m.data.Highest {
		return Result{Code: Stale, Text: "a newer version is approved"}
	}
	for _, candidate := range m.data.Candidates[c.Version] {
		if candidate.Digest == c.Digest {
			m.recordApproval(c, candidate)
			return Result{Code: Done}
		}
	}
	return Result{Code: Missing, Text: "no such bundle is published"}
}

// recordApproval stores the approved candidate and deletes the candidates that
// can no longer be approved.
func (m *Machine) recordApproval(c *Command, candidate Candidate) {
	m.data.Approved[c.Version] = &Approved{candidate.Digest, candidate.Text, c.Operator, c.Signature}
	m.data.Highest = c.Version
	maps.DeleteFunc(m.data.Candidates, func(v spec.Version, _ []Candidate) bool { return v <= c.Version })
	versions := slices.Sorted(maps.Keys(m.data.Approved))
	for _, v := range versions[:max(0, len(versions)-maxApproved)] {
		if !m.inUse(v) {
			delete(m.data.Approved, v)
		}
	}
}

// inUse reports whether v is the version of the latest roll-out, or of the latest
// release of a data centre.
func (m *Machine) inUse(v spec.Version) bool {
	if m.data.Rollout.Version == v {
		return true
	}
	for _, releases := range m.data.Releases {
		if len(releases) > 0 && releases[len(releases)-1].Version == v {
			return true
		}
	}
	return false
}

func (m *Machine) roll(c *Command) Result {
	approved := m.data.Approved[c.Version]
	if approved == nil || approved.Digest != c.Digest {
		return Result{Code: Missing, Text: "no such bundle is approved"}
	}
	if c.Version < m.data.Rollout.Version {
		return Result{Code: Stale, Text: "a newer version is being rolled out"}
	}
	if c.Version == m.data.Rollout.Version {
		return Result{Code: Done}
	}
	b, err := spec.Parse("bundle", approved.Text)
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

// step releases the version to the next stage. A Step for another stage has no
// effect, because the leader may propose the same step more than once.
func (m *Machine) step(c *Command) Result {
	r := &m.data.Rollout
	if r.Version != c.Version || r.Stage != c.Stage || r.Halted || r.Finished() {
		return Result{Code: Stale}
	}
	for _, centre := range r.Stages[r.Stage] {
		m.addRelease(centre, c.Version)
	}
	r.Stage++
	return Result{Code: Done}
}

// addRelease appends a release of an approved version to the hash chain of a data
// centre.
func (m *Machine) addRelease(centre string, version spec.Version) {
	approved := m.data.Approved[version]
	releases := m.data.Releases[centre]
	var last chain.Release
	if len(releases) > 0 {
		last = releases[len(releases)-1]
	}
	next := chain.Release{
		Centre: centre, Seq: last.Seq + 1, Version: version, Digest: approved.Digest,
		Operator: approved.Operator, Signature: approved.Signature, Prev: last.Hash,
	}
	next.Hash = next.Sum()
	releases = append(releases, next)
	m.data.Releases[centre] = releases[max(0, len(releases)-maxReleases):]
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

// Rollout returns the latest roll-out. Its version is zero if there was none.
func (m *Machine) Rollout() Rollout { return m.data.Rollout }

// Highest returns the highest approved version.
func (m *Machine) Highest() spec.Version { return m.data.Highest }

// Approved returns the bundle approved for version, or nil if there is none or
// it is no longer kept.
func (m *Machine) Approved(version spec.Version) *Approved { return m.data.Approved[version] }

// Releases returns the kept releases of a data centre, oldest first.
func (m *Machine) Releases(centre string) []chain.Release { return m.data.Releases[centre] }

// Centres returns the sorted names of the data centres that have releases.
func (m *Machine) Centres() []string { return slices.Sorted(maps.Keys(m.data.Releases)) }

// TextOf returns the text of the approved bundle with the given digest, or "" if
// it is not kept.
func (m *Machine) TextOf(digest spec.Digest) string {
	for _, a := range m.data.Approved {
		if a.Digest == digest {
			return a.Text
		}
	}
	return ""
}
