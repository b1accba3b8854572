// Package sign creates the operators' Ed25519 keys and verifies their
// signatures.
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

// Errors returned by this package.
var (
	// ErrUnknownOperator is returned for an operator whose public key is not
	// configured.
	ErrUnknownOperator = errors.New("unknown operator")
	// ErrBadSignature is returned for a signature that does not match the message.
	ErrBadSignature = errors.New("signature does not match")
	// ErrBadKey is returned for a malformed key file or public key.
	ErrBadKey = errors.New("malformed key")
)

const keyFileMode = 0o600

// ApprovalMessage returns the message that an operator signs to approve a
// bundle.
func ApprovalMessage(version spec.Version, digest spec.Digest) []byte {
	return fmt.Appendf(nil, "monsooncleat approve %d %s", version, digest)
}

// Keyring maps operator names to their public keys.
type Keyring map[string]ed25519.PublicKey

// Verify checks the operator's signature of message. It returns
// ErrUnknownOperator or ErrBadSignature if the check fails.
func (k Keyring) Verify(operator string, message, signature []byte) error {
	key, ok := k[operator]
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

// CreateKey generates a key pair, writes the seed of the private key to a new
// file at path and returns the public key. Both are in hexadecimal digits. It
// fails if the file exists.
func CreateKey(path string) (string, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", fmt.Errorf("generate key: %w", err)
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, keyFileMode)
	if err != nil {
		return "", fmt.Errorf("create key file: %w", err)
	}
	_, err = fmt.Fprintln(f, hex.EncodeToString(private.Seed()))
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return hex.EncodeToString(public), err
}

// LoadPrivate reads a private key from a file that holds its seed in hexadecimal
// digits.
func LoadPrivate(path string) (ed25519.PrivateKey, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read key: %w", err)
	}
	seed, err := hex.DecodeString(strings.TrimSpace(string(b)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, fmt.Errorf("%w: %s: want 64 hexadecimal digits", ErrBadKey, path)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}
