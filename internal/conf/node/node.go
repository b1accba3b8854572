// Package node defines the settings files of entry hosts, control hosts and the
// operator's command-line tool.
package node

import (
	"crypto/ed25519"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/sign"
	"monsooncleat.example/monsooncleat/internal/conf/strict"
	"monsooncleat.example/monsooncleat/internal/wire/frame"
)

// minKeyBytes is the minimum length of the shared key.
const minKeyBytes = 16

// Operator is a person whose signed commands the hosts accept.
type Operator struct {
	Name string `toml:"name"`
	// Key is the operator's ed25519 public key in hexadecimal digits.
	Key string `toml:"key"`
}

// operatorKeys returns the public keys of operators by name. Invalid keys are left
// out; checkOperators reports them.
func operatorKeys(operators []Operator) sign.Keyring {
	keys := sign.Keyring{}
	for _, o := range operators {
		if key, err := sign.ParsePublic(o.Key); err == nil {
			keys[o.Name] = key
		}
	}
	return keys
}

func checkOperators(c *strict.Checker, operators []Operator) {
	c.Check(len(operators) > 0, "operator", "is missing; want at least one operator")
	seen := map[string]bool{}
	for i, o := range operators {
		path := fmt.Sprintf("operator[%d]", i)
		c.Check(o.Name != "", path+".name", "is missing")
		c.Check(!seen[o.Name], path+".name", "duplicate name %q", o.Name)
		seen[o.Name] = true
		_, err := sign.ParsePublic(o.Key)
		c.Check(err == nil, path+".key", "want %d hexadecimal digits", 2*ed25519.PublicKeySize)
	}
}

// loadSharedKey reads the shared key, in hexadecimal digits, from a file. A relative
// keyPath is resolved against the directory of the settings file.
func loadSharedKey(settingsPath, keyPath string) (frame.Key, error) {
	if !filepath.IsAbs(keyPath) {
		keyPath = filepath.Join(filepath.Dir(settingsPath), keyPath)
	}
	b, err := os.ReadFile(keyPath)
	if err != nil {
		return nil, fmt.Errorf("read shared key: %w", err)
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(b)))
	if err != nil || len(key) < minKeyBytes {
		return nil, fmt.Errorf("shared key %s: want at least %d hexadecimal digits", keyPath, 2*minKeyBytes)
	}
	return key, nil
}

func checkName(c *strict.Checker, field, name string) {
	c.Check(name != "", field, "is missing")
	c.Check(!strings.ContainsAny(name, "/ \t"), field, "must not contain slashes, spaces or tabs")
}

func checkEndpoint(c *strict.Checker, field string, e strict.Endpoint) {
	c.Check(e.IsValid(), field, "is missing; want an IP address with a port")
}

func durationOr(s strict.Span, fallback clock.Millis) clock.Millis {
	if s == 0 {
		return fallback
	}
	return s.Millis()
}
