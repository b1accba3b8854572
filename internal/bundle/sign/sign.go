// Package sign makes and checks the operators' ed25519 signatures.
package sign

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strings"

	"monsooncleat.example/monsooncleat/internal/bundle/spec"
)

// Errors of this package.
var (
	// ErrUnknownOperator is returned for an operator without a known key.
	ErrUnknownOperator = errors.New("unknown operator")
	// ErrBadSignature is returned for a signature that does not match.
	ErrBadSignature = errors.New("signature does not match")
	// ErrBadKey is returned for a key file or public key that is malformed.
	ErrBadKey = errors.New("malformed key")
)

const keyMode = 0o600

// Approval returns the bytes that an operator signs to approve a bundle.
func Approval(version spec.Version, digest spec.Digest) []byte {
	return fmt.Appendf(nil, "monsooncleat approve %d %s", version, digest)
}

// Ring holds the public keys of the operators by name.
type Ring map[string]ed25519.PublicKey

// Verify returns nil when operator signed message.
func (r Ring) Verify(operator string, message, signature []byte) error {
	key, ok := r[operator]
	if !ok {
		return fmt.Errorf("%w: %q", ErrUnknownOperator, operator)
	}
	if !ed25519.Verify(key, message, signature) {
		return ErrBadSignature
	}
	return nil
}

// ParsePublic parses a public key of 64 hexadecimal digits.
func ParsePublic(s string) (ed25519.PublicKey, error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != ed25519.PublicKeySize {
		return nil, ErrBadKey
	}
	return b, nil
}

// Create makes a key, writes its secret to a new file at path and returns the
// public key in hexadecimal digits.
func Create(path string) (string, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", fmt.Errorf("make key: %w", err)
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, keyMode)
	if err != nil {
		return "", fmt.Errorf("create key file: %w", err)
	}
	_, err = fmt.Fprintln(f, hex.EncodeToString(private.Seed()))
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return hex.EncodeToString(public), err
}

// LoadPrivate reads a key that Create wrote.
func LoadPrivate(path string) (ed25519.PrivateKey, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read key: %w", err)
	}
	seed, err := hex.DecodeString(strings.TrimSpace(string(b)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, fmt.Errorf("%w: %s", ErrBadKey, path)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}
