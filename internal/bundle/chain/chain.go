// Package chain moves approved bundles to entry hosts: a hash chain of releases
// for each data centre, of which a holder accepts only newer ones.
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

// Errors returned by Holder.Accept.
var (
	// ErrOld is returned for releases that are not newer than those held.
	ErrOld = errors.New("release is not newer")
	// ErrBroken is returned for releases that do not follow from those held.
	ErrBroken = errors.New("hash chain is broken")
)

// maxLinks is the most releases sent one by one. A holder further behind gets
// the newest release alone.
const maxLinks = 64

// keptTexts is how many texts a holder keeps to make patches for its peers.
const keptTexts = 8

// Release puts one approved bundle in force in one data centre.
type Release struct {
	Centre    string       `msgpack:"centre"`
	Seq       uint64       `msgpack:"seq"`
	Version   spec.Version `msgpack:"version"`
	Digest    spec.Digest  `msgpack:"digest"`
	Operator  string       `msgpack:"operator"`
	Signature []byte       `msgpack:"signature"`
	Prev      string       `msgpack:"prev"`
	Hash      string       `msgpack:"hash"`
}

// Sum returns the hash that links the release to the one before it.
func (r *Release) Sum() string {
	text := fmt.Sprintf("%s %s %d %d %s", r.Prev, r.Centre, r.Seq, r.Version, r.Digest)
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:16])
}

// Position is how far a holder has come.
type Position struct {
	Centre string      `msgpack:"centre"`
	Seq    uint64      `msgpack:"seq"`
	Digest spec.Digest `msgpack:"digest"`
}

// Update brings a holder forward.
type Update struct {
	Releases []Release   `msgpack:"releases"`
	Patch    patch.Patch `msgpack:"patch"`
}

// Texts finds the text of a bundle by digest. It returns "" when it is unknown.
type Texts interface {
	TextOf(digest spec.Digest) string
}

// MakeUpdate returns what takes a holder at pos to the last of releases, or nil
// when it is there already.
func MakeUpdate(pos Position, releases []Release, texts Texts) *Update {
	if len(releases) == 0 {
		return nil
	}
	last := releases[len(releases)-1]
	target := texts.TextOf(last.Digest)
	if last.Seq <= pos.Seq || target == "" {
		return nil
	}
	links := releases[len(releases)-1:]
	behind := last.Seq - pos.Seq
	if pos.Seq > 0 && behind <= maxLinks && behind <= uint64(len(releases)) {
		links = releases[uint64(len(releases))-behind:]
	}
	base := ""
	if pos.Digest != "" {
		base = texts.TextOf(pos.Digest)
	}
	return &Update{Releases: links, Patch: patch.Make(base, target)}
}

// Holder keeps the release in force in one data centre. It never goes back.
type Holder struct {
	centre   string
	keys     sign.Ring
	releases []Release
	texts    map[spec.Digest]string
	order    []spec.Digest
	bundle   *spec.Bundle
}

// New returns an empty Holder for a data centre.
func New(centre string, keys sign.Ring) *Holder {
	return &Holder{centre: centre, keys: keys, texts: map[spec.Digest]string{}}
}

// Position returns how far h has come.
func (h *Holder) Position() Position {
	p := Position{Centre: h.centre}
	if last := h.Last(); last != nil {
		p.Seq, p.Digest = last.Seq, last.Digest
	}
	return p
}

// Last returns the release in force, or nil.
func (h *Holder) Last() *Release {
	if len(h.releases) == 0 {
		return nil
	}
	return &h.releases[len(h.releases)-1]
}

// Bundle returns the bundle in force, or nil.
func (h *Holder) Bundle() *spec.Bundle { return h.bundle }

// Releases returns the kept releases, oldest first.
func (h *Holder) Releases() []Release { return h.releases }

// TextOf returns a kept text by digest, or "".
func (h *Holder) TextOf(digest spec.Digest) string { return h.texts[digest] }

// Accept checks u and puts its last release in force. On an error h stays as
// it was.
func (h *Holder) Accept(u *Update) error {
	if len(u.Releases) == 0 {
		return ErrOld
	}
	if err := h.checkLinks(u.Releases); err != nil {
		return err
	}
	last := u.Releases[len(u.Releases)-1]
	if err := h.keys.Verify(last.Operator, sign.Approval(last.Version, last.Digest), last.Signature); err != nil {
		return err
	}
	text, err := u.Patch.Apply(h.texts[u.Patch.Base])
	if err != nil {
		return err
	}
	b, err := spec.Parse("bundle", text)
	if err != nil {
		return err
	}
	if b.Digest() != last.Digest || b.Version() != last.Version {
		return ErrBroken
	}
	h.put(u.Releases, b)
	return nil
}

func (h *Holder) checkLinks(releases []Release) error {
	held := Release{}
	if last := h.Last(); last != nil {
		held = *last
	}
	end := releases[len(releases)-1]
	if end.Seq <= held.Seq || end.Version < held.Version {
		return ErrOld
	}
	for i := range releases {
		r := &releases[i]
		if r.Centre != h.centre || r.Hash != r.Sum() {
			return ErrBroken
		}
		if r.Seq == held.Seq+1 && r.Prev != held.Hash || i > 0 && r.Seq != held.Seq+1 {
			return ErrBroken
		}
		held = *r
	}
	return nil
}

func (h *Holder) put(releases []Release, b *spec.Bundle) {
	if last := h.Last(); last != nil && releases[0].Seq != last.Seq+1 {
		h.releases = nil
	}
	h.releases = append(h.releases, releases...)
	h.releases = h.releases[max(0, len(h.releases)-maxLinks):]
	h.bundle = b
	if _, ok := h.texts[b.Digest()]; ok {
		return
	}
	h.texts[b.Digest()] = b.Text()
	h.order = append(h.order, b.Digest())
	if len(h.order) > keptTexts {
		delete(h.texts, h.order[0])
		h.order = h.order[1:]
	}
}

// Whole returns an Update that takes an empty holder to the present release,
// for storing. It returns nil when nothing is held.
func (h *Holder) Whole() *Update {
	if h.bundle == nil {
		return nil
	}
	return &Update{Releases: []Release{*h.Last()}, Patch: patch.Make("", h.bundle.Text())}
}
