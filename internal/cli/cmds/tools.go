package cmds

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"

	"monsooncleat.example/monsooncleat/internal/base/admin"
	"monsooncleat.example/monsooncleat/internal/bundle/sign"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
	"monsooncleat.example/monsooncleat/internal/conf/node"
)

const (
	sharedKeyBytes = 32
	keyFileMode    = 0o600
)

func runDump(ctx context.Context, e *env, args []string) error {
	fs := e.newFlags("dump")
	if err := parse(fs, args, 1); err != nil {
		return err
	}
	b, err := admin.FetchDump(ctx, fs.Arg(0))
	if err != nil {
		return err
	}
	_, err = e.out.Write(b)
	return err
}

func runCheck(_ context.Context, e *env, args []string) error {
	fs := e.newFlags("check")
	if err := parse(fs, args, 2); err != nil {
		return err
	}
	kind, path := fs.Arg(0), fs.Arg(1)
	var err error
	switch kind {
	case "entry":
		_, err = node.LoadEntry(path)
	case "control":
		_, err = node.LoadControl(path)
	case "operator":
		_, err = node.LoadCLI(path)
	case "bundle":
		var b *spec.Bundle
		if b, err = loadBundle(path); err == nil {
			fmt.Fprintf(e.out, "version %d digest %s\n", b.Version(), b.Digest())
		}
	default:
		return fmt.Errorf("%w: unknown kind %q, expected entry, control, operator or bundle", errUsage, kind)
	}
	if err == nil {
		fmt.Fprintf(e.out, "%s: valid\n", path)
	}
	return err
}

func loadBundle(path string) (*spec.Bundle, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read bundle: %w", err)
	}
	return spec.Parse(path, string(text))
}

func runKeys(_ context.Context, e *env, args []string) error {
	fs := e.newFlags("keys")
	if err := parse(fs, args, 2); err != nil {
		return err
	}
	switch kind, path := fs.Arg(0), fs.Arg(1); kind {
	case "operator":
		public, err := sign.CreateKey(path)
		if err == nil {
			fmt.Fprintln(e.out, public)
		}
		return err
	case "shared":
		return createSharedKey(path)
	default:
		return fmt.Errorf("%w: unknown kind of key %q, expected operator or shared", errUsage, kind)
	}
}

func createSharedKey(path string) error {
	key := make([]byte, sharedKeyBytes)
	if _, err := rand.Read(key); err != nil {
		return fmt.Errorf("generate key: %w", err)
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, keyFileMode)
	if err != nil {
		return fmt.Errorf("create key file: %w", err)
	}
	_, err = fmt.Fprintln(f, hex.EncodeToString(key))
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}
