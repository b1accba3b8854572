// Package chain distributes approved bundles to entry hosts. Each data centre
// has a hash chain of releases, and entry hosts accept only newer ones.
package chain

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"monsooncleat.example/monsooncleat/internal/bundle/patch"
	"monsooncleat.example/monsooncleat/internal/bundle/sign"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
)

// Errors returned by Accept.
var (
	// ErrStale is returned for an update that is not newer than the release in
	// force.
	ErrStale = errors.New("release is not newer than the one in force")
	// ErrBrokenChain is returned for releases that do not continue the chain, or
	// whose bundle does not match.
	ErrBrokenChain = errors.New("hash chain is broken")
)

// maxReleases is the most releases that are kept and that one update holds. An
// entry host that is further behind gets only the newest release.
const maxReleases = 64

// maxTexts is how many bundle texts are kept as bases of received patches and of
// patches for peers.
const maxTexts = 8

// Release puts an approved bundle in force in one data centre.
type Release struct {
	Centre    string       `msgpack:"centre"`
	Seq       uint64       `msgpack:"seq"`
	Version   spec.Version `msgpack:"version"`
	Digest    spec.Digest  `msgpack:"digest"`
	Operator  string       `msgpack:"operator"`
	Signature []byte       `msgpack:"signature"`
	// Prev is the hash of the previous release, empty for the first one.
	Prev string `msgpack:"prev"`
	// Hash is the value of Sum.
	Hash string `msgpack:"hash"`
}

// Sum returns the hash of the release and of the previous release's hash: the
// first 16 bytes of a SHA-256 in hexadecimal digits. It does not cover the
// operator and the signature.
func (r *Release) Sum() string {
	text := fmt.Sprintf("%s %s %d %d %s", r.Prev, r.Centre, r.Seq, r.Version, r.Digest)
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:16])
}

// Position is the newest release that a host has of a data centre's chain. Seq
// is zero and Digest empty when it has none.
type Position struct {
	Centre string      `msgpack:"centre"`
	Seq    uint64      `msgpack:"seq"`
	Digest spec.Digest `msgpack:"digest"`
}

// Update takes a host from its position to a newer release.
type Update struct {
	// Releases are the missing ones, oldest first, or only the newest.
	Releases []Release `msgpack:"releases"`
	// Patch produces the bundle text of the last release.
	Patch patch.Patch `msgpack:"patch"`
}

// TextSource looks up bundle texts by digest. It returns "" for an unknown
// digest.
type TextSource interface {
	TextOf(digest spec.Digest) string
}

// MakeUpdate returns the update that takes a host at pos to the last of
// releases. It returns nil if the host already has that release, or if the text of
// the release is unknown.
func MakeUpdate(pos Position, releases []Release, source TextSource) *Update {
	if len(releases) == 0 {
		return nil
	}
	last := releases[len(releases)-1]
	target := source.TextOf(last.Digest)
	if last.Seq <= pos.Seq || target == "" {
		return nil
	}
	missing := releases[len(releases)-1:]
	behind := last.Seq - pos.Seq
	if pos.Seq > 0 && behind <= maxReleases && behind <= uint64(len(releases)) {
		missing = releases[uint64(len(releases))-behind:]
	}
	base := ""
	if pos.Digest != "" {
		base = source.TextOf(pos.Digest)
	}
	return &Update{Releases: missing, Patch: patch.Make(base, target)}
}

// Replica keeps the latest releases of one data centre and the bundle in force
// there. It never goes back to an older release.
type Replica struct {
	centre   string
	keys     sign.Keyring
	releases []Release
	texts    map[spec.Digest]string
	// textOrder holds the keys of texts, oldest first.
	textOrder []spec.Digest
	bundle    *spec.Bundle
}

// New returns a Replica without releases for a data centre. Keys are the public
// keys of the operators whose approvals it accepts.
func New(centre string, keys sign.Keyring) *Replica {
	return &Replica{centre: centre, keys: keys, texts: map[spec.Digest]string{}}
}

// Position returns the position of the release in force.
func (r *Replica) Position() Position {
	p := Position{Centre: r.centre}
	if last := r.Last(); last != nil {
		p.Seq, p.Digest = last.Seq, last.Digest
	}
	return p
}

// Last returns the release in force, or nil.
func (r *Replica) Last() *Release {
	if len(r.releases) == 0 {
		return nil
	}
	return &r.releases[len(r.releases)-1]
}

// Bundle returns the bundle in force, or nil.
func (r *Replica) Bundle() *spec.Bundle { return r.bundle }

// Releases returns the kept releases, oldest first.
func (r *Replica) Releases() []Release { return r.releases }

// TextOf returns the bundle text with the given digest, or "" if it is not kept.
func (r *Replica) TextOf(digest spec.Digest) string { return r.texts[digest] }

// Accept verifies an update and puts its last release in force. Only the
// approval and the bundle of the last release are verified. On an error,
// nothing changes. The error is ErrStale, ErrBrokenChain, or the one of the
// signature, the patch or the bundle.
func (r *Replica) Accept(u *Update) error {
	if len(u.Releases) == 0 {
		return ErrStale
	}
	if err := r.checkReleases(u.Releases); err != nil {
		return err
	}
	last := u.Releases[len(u.Releases)-1]
	if err := r.keys.Verify(last.Operator, sign.ApprovalMessage(last.Version, last.Digest), last.Signature); err != nil {
		return err
	}
	text, err := u.Patch.Apply(r.texts[u.Patch.Base])
	if err != nil {
		return err
	}
	b, err := spec.Parse("bundle", text)
	if err != nil {
		return err
	}
	if b.Digest() != last.Digest || b.Version() != last.Version {
		return ErrBrokenChain
	}
	r.store(u.Releases, b)
	return nil
}

// checkReleases verifies the hash chain of releases. The first one need not
// directly follow the release in force; the others must be consecutive.
func (r *Replica) checkReleases(releases []Release) error {
	prev := Release{}
	if last := r.Last(); last != nil {
		prev = *last
	}
	newest := releases[len(releases)-1]
	if newest.Seq <= prev.Seq || newest.Version < prev.Version {
		return ErrStale
	}
	for i := range releases {
		next := &releases[i]
		if next.Centre != r.centre || next.Hash != next.Sum() {
			return ErrBrokenChain
		}
		if next.Seq == prev.Seq+1 && next.Prev != prev.Hash || i > 0 && next.Seq != prev.Seq+1 {
			return ErrBrokenChain
		}
		prev = *next
	}
	return nil
}

// store appends releases and puts b in force. It drops the older releases
// unless the new ones directly follow them, so that all are consecutive.
func (r *Replica) store(releases []Release, b *spec.Bundle) {
	if last := r.Last(); last != nil && releases[0].Seq != last.Seq+1 {
		r.releases = nil
	}
	r.releases = append(r.releases, releases...)
	r.releases = r.releases[max(0, len(r.releases)-maxReleases):]
	r.bundle = b
	if _, ok := r.texts[b.Digest()]; ok {
		return
	}
	r.texts[b.Digest()] = b.Text()
	r.textOrder = append(r.textOrder, b.Digest())
	if len(r.textOrder) > maxTexts {
		delete(r.texts, r.textOrder[0])
		r.textOrder = r.textOrder[1:]
	}
}

// FullUpdate returns an update with only the release in force and its whole
// text. A host stores it on disk and accepts it after a restart. It returns nil
// if there is no release.
func (r *Replica) FullUpdate() *Update {
	if r.bundle == nil {
		return nil
	}
	return &Update{Releases: []Release{*r.Last()}, Patch: patch.Make("", r.bundle.Text())}
}
