// Package patch encodes a text as its difference from an earlier one: the
// lengths of the common prefix and suffix, and the bytes between them.
package patch

import (
	"errors"

	"monsooncleat.example/monsooncleat/internal/bundle/spec"
)

// ErrMismatch is returned when applying a patch does not produce the text with
// its target digest.
var ErrMismatch = errors.New("patched text does not match the target digest")

// Patch turns the text with digest Base into the text with digest Target. An
// empty Base means that the patch holds the whole target.
type Patch struct {
	Base   spec.Digest `msgpack:"base"`
	Target spec.Digest `msgpack:"target"`
	// Lengths of the common prefix and suffix in bytes.
	PrefixLen int `msgpack:"head"`
	SuffixLen int `msgpack:"tail"`
	// Middle is the part of the target between them.
	Middle string `msgpack:"middle"`
}

// Make returns the patch from base to target. With an empty base, the patch
// holds the whole target.
func Make(base, target string) Patch {
	p := Patch{Target: spec.DigestOf(target)}
	if base != "" {
		p.Base = spec.DigestOf(base)
	}
	shorter := min(len(base), len(target))
	for p.PrefixLen < shorter && base[p.PrefixLen] == target[p.PrefixLen] {
		p.PrefixLen++
	}
	for p.SuffixLen < shorter-p.PrefixLen && base[len(base)-1-p.SuffixLen] == target[len(target)-1-p.SuffixLen] {
		p.SuffixLen++
	}
	p.Middle = target[p.PrefixLen : len(target)-p.SuffixLen]
	return p
}

// Apply returns the target text. It returns ErrMismatch if the lengths do not fit
// base or the result does not have the target digest. Base is ignored if p holds
// the whole target.
func (p *Patch) Apply(base string) (string, error) {
	if p.Base == "" {
		base = ""
	}
	if p.PrefixLen < 0 || p.SuffixLen < 0 || p.PrefixLen > len(base)-p.SuffixLen {
		return "", ErrMismatch
	}
	target := base[:p.PrefixLen] + p.Middle + base[len(base)-p.SuffixLen:]
	if spec.DigestOf(target) != p.Target {
		return "", ErrMismatch
	}
	return target, nil
}
