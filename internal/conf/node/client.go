package node

import (
	"crypto/ed25519"
	"path/filepath"

	"monsooncleat.example/monsooncleat/internal/bundle/sign"
	"monsooncleat.example/monsooncleat/internal/conf/strict"
	"monsooncleat.example/monsooncleat/internal/wire/frame"
)

// Client is the settings file of an operator's commands.
type Client struct {
	Operator    string            `toml:"operator"`
	OperatorKey string            `toml:"operatorKey"`
	KeyFile     string            `toml:"keyFile"`
	Controls    []strict.Endpoint `toml:"controls"`

	key     frame.Key
	private ed25519.PrivateKey
}

// LoadClient reads and checks an operator's settings.
func LoadClient(path string) (*Client, error) {
	var s Client
	if err := strict.Load(path, &s); err != nil {
		return nil, err
	}
	var err error
	if s.key, err = loadKey(path, s.KeyFile); err != nil {
		return nil, err
	}
	secret := s.OperatorKey
	if !filepath.IsAbs(secret) {
		secret = filepath.Join(filepath.Dir(path), secret)
	}
	s.private, err = sign.LoadPrivate(secret)
	return &s, err
}

// Check implements strict.Checked.
func (s *Client) Check(c *strict.Checker) {
	c.Check(s.Operator != "", "operator", "is missing")
	c.Check(s.OperatorKey != "", "operatorKey", "is missing; want the file of the operator's secret key")
	c.Check(s.KeyFile != "", "keyFile", "is missing")
	c.Check(len(s.Controls) > 0, "controls", "is missing; want the addresses of the control hosts")
}

// Key returns the key that signs frames.
func (s *Client) Key() frame.Key { return s.key }

// Sign returns the operator's signature of message.
func (s *Client) Sign(message []byte) []byte { return ed25519.Sign(s.private, message) }
