// Package node defines the settings files of the system's processes.
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

// minKey is the least length of the shared key in bytes.
const minKey = 16

// Operator is a person who may drive the system, with the public key in
// hexadecimal digits.
type Operator struct {
	Name string `toml:"name"`
	Key  string `toml:"key"`
}

// ring returns the keys of operators that were checked.
func ring(operators []Operator) sign.Ring {
	keys := sign.Ring{}
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
		at := fmt.Sprintf("operator[%d]", i)
		c.Check(o.Name != "", at+".name", "is missing")
		c.Check(!seen[o.Name], at+".name", "%q stands twice", o.Name)
		seen[o.Name] = true
		_, err := sign.ParsePublic(o.Key)
		c.Check(err == nil, at+".key", "want %d hexadecimal digits", 2*ed25519.PublicKeySize)
	}
}

// loadKey reads the shared key, in hexadecimal digits, from a file. A relative
// path counts from the folder of the settings file.
func loadKey(settings, path string) (frame.Key, error) {
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(settings), path)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read shared key: %w", err)
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(b)))
	if err != nil || len(key) < minKey {
		return nil, fmt.Errorf("shared key %s: want at least %d hexadecimal digits", path, 2*minKey)
	}
	return key, nil
}

func checkName(c *strict.Checker, field, name string) {
	c.Check(name != "", field, "is missing")
	c.Check(!strings.ContainsAny(name, "/ \t"), field, "must not hold a slash or a space")
}

func checkEndpoint(c *strict.Checker, field string, e strict.Endpoint) {
	c.Check(e.IsValid(), field, "is missing; want an IP address with a port")
}

func orSpan(s strict.Span, def clock.Millis) clock.Millis {
	if s == 0 {
		return def
	}
	return s.Millis()
}
