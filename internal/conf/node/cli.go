package node

import (
	"crypto/ed25519"
	"path/filepath"

	"monsooncleat.example/monsooncleat/internal/bundle/sign"
	"monsooncleat.example/monsooncleat/internal/conf/strict"
	"monsooncleat.example/monsooncleat/internal/wire/frame"
)

// CLI is the settings file of the operator's command-line tool.
type CLI struct {
	Operator string `toml:"operator"`
	// OperatorKey is the path of the operator's private key file.
	OperatorKey string `toml:"operatorKey"`
	// KeyFile is the path of the file with the key that all hosts share.
	KeyFile string `toml:"keyFile"`
	// Controls are the addresses of the control hosts.
	Controls []strict.Endpoint `toml:"controls"`

	sharedKey  frame.Key
	privateKey ed25519.PrivateKey
}

// LoadCLI reads and validates the settings of the command-line tool, and reads
// both key files.
func LoadCLI(path string) (*CLI, error) {
	var s CLI
	if err := strict.Load(path, &s); err != nil {
		return nil, err
	}
	var err error
	if s.sharedKey, err = loadSharedKey(path, s.KeyFile); err != nil {
		return nil, err
	}
	keyPath := s.OperatorKey
	if !filepath.IsAbs(keyPath) {
		keyPath = filepath.Join(filepath.Dir(path), keyPath)
	}
	s.privateKey, err = sign.LoadPrivate(keyPath)
	return &s, err
}

// Validate validates the settings and records errors in c.
func (s *CLI) Validate(c *strict.Checker) {
	c.Check(s.Operator != "", "operator", "is missing")
	c.Check(s.OperatorKey != "", "operatorKey", "is missing; want the path of the operator's private key file")
	c.Check(s.KeyFile != "", "keyFile", "is missing")
	c.Check(len(s.Controls) > 0, "controls", "is missing; want the addresses of the control hosts")
}

// Key returns the shared key, which authenticates frames.
func (s *CLI) Key() frame.Key { return s.sharedKey }

// Sign signs message with the operator's private key and returns the signature.
func (s *CLI) Sign(message []byte) []byte { return ed25519.Sign(s.privateKey, message) }
