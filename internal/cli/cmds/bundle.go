package cmds

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"time"

	"monsooncleat.example/monsooncleat/internal/bundle/spec"
	"monsooncleat.example/monsooncleat/internal/bundle/state"
	"monsooncleat.example/monsooncleat/internal/conf/node"
	"monsooncleat.example/monsooncleat/internal/ctrl/msgs"
	"monsooncleat.example/monsooncleat/internal/wire/codec"
	"monsooncleat.example/monsooncleat/internal/wire/link"
)

// errNoAnswer is returned when no control host accepted a command in time. The
// command may have taken effect; a resend with the same id tells.
var errNoAnswer = errors.New("no control host accepted the command in time; resend it with the same -id")

const (
	callTimeout = 2 * time.Second
	callPause   = 200 * time.Millisecond
)

// client sends an operator's messages to the control hosts.
type client struct {
	settings *node.Client
	id       string
	timeout  time.Duration
}

// clientFlags adds the flags that each operator's command has.
func clientFlags(fs *flag.FlagSet) func() (*client, error) {
	path := fs.String("settings", "operator.toml", "the operator's settings `FILE`")
	id := fs.String("id", "", "command `ID`; a resend carries the same one (default: a new one)")
	timeout := fs.Duration("timeout", 15*time.Second, "give up after this `SPAN`")
	return func() (*client, error) {
		settings, err := node.LoadClient(*path)
		if err != nil {
			return nil, err
		}
		if *id == "" {
			*id = newID()
		}
		return &client{settings, *id, *timeout}, nil
	}
}

func newID() string {
	b := make([]byte, 12)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// ask sends body to one control host after the other until accept takes the
// reply. Accept returns the address to ask next, if the reply names one.
func (c *client) ask(ctx context.Context, body []byte, accept func(reply []byte) (done bool, next string)) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var addrs []string
	for _, e := range c.settings.Controls {
		addrs = append(addrs, e.String())
	}
	addr := addrs[0]
	for i := 1; ctx.Err() == nil; i++ {
		call, stop := context.WithTimeout(ctx, callTimeout)
		reply, err := link.Call(call, addr, c.settings.Key(), body)
		stop()
		next := ""
		if err == nil {
			var done bool
			if done, next = accept(reply); done {
				return nil
			}
		}
		if next == "" || next == addr || !slices.Contains(addrs, next) {
			next = addrs[i%len(addrs)]
			pause(ctx, callPause)
		}
		addr = next
	}
	return errNoAnswer
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// perform sends a command and returns its result.
func (c *client) perform(ctx context.Context, kind codec.Kind, v any) (state.Result, error) {
	var result state.Result
	err := c.ask(ctx, codec.Encode(kind, v), func(reply []byte) (bool, string) {
		m, err := codec.Decode[msgs.CommandReply](reply)
		if err != nil {
			return false, ""
		}
		result = m.Result
		return m.Result.Code != state.Unavailable, m.Leader
	})
	return result, err
}

// commandError is the error of a command that was refused.
type commandError struct{ result state.Result }

func (e *commandError) Error() string {
	text := string(e.result.Code)
	if e.result.Text != "" {
		text += ": " + e.result.Text
	}
	if e.result.Winner != "" {
		text += ": the number belongs to digest " + string(e.result.Winner)
	}
	return text
}

func (c *client) command(ctx context.Context, e *env, cmd *state.Command) error {
	cmd.ID, cmd.Operator = c.id, c.settings.Operator
	cmd.Signature = c.settings.Sign(cmd.SignedBytes())
	result, err := c.perform(ctx, codec.Command, cmd)
	if err != nil {
		return fmt.Errorf("command %s: %w", c.id, err)
	}
	if result.Code != state.Done {
		return &commandError{result}
	}
	fmt.Fprintf(e.out, "%s: %s version %d digest %s\n", cmd.Kind, result.Code, result.Version, result.Digest)
	return nil
}

func runBundle(ctx context.Context, e *env, args []string) error {
	if len(args) == 0 {
		return fmt.Errorf("%w: which of publish, approve, roll, resume, status?", errUsage)
	}
	switch args[0] {
	case "publish":
		return publish(ctx, e, args[1:])
	case "approve":
		return named(ctx, e, state.Approve, args[1:])
	case "roll":
		return named(ctx, e, state.Roll, args[1:])
	case "resume":
		return named(ctx, e, state.Resume, args[1:])
	case "status":
		return status(ctx, e, args[1:])
	default:
		return fmt.Errorf("%w: unknown command %q", errUsage, args[0])
	}
}

func publish(ctx context.Context, e *env, args []string) error {
	fs := e.newFlags("bundle publish")
	open := clientFlags(fs)
	if err := parse(fs, args, 1); err != nil {
		return err
	}
	b, err := loadBundle(fs.Arg(0))
	if err != nil {
		return err
	}
	c, err := open()
	if err != nil {
		return err
	}
	return c.command(ctx, e, &state.Command{Kind: state.Publish, Version: b.Version(), Digest: b.Digest(), Text: b.Text()})
}

// named runs a command on a bundle that is named by version and digest.
func named(ctx context.Context, e *env, kind state.Kind, args []string) error {
	fs := e.newFlags("bundle " + string(kind))
	open := clientFlags(fs)
	if err := parse(fs, args, 2); err != nil {
		return err
	}
	version, err := strconv.ParseUint(fs.Arg(0), 10, 32)
	if err != nil {
		return fmt.Errorf("%w: version %q is no number", errUsage, fs.Arg(0))
	}
	c, err := open()
	if err != nil {
		return err
	}
	cmd := &state.Command{Kind: kind, Version: spec.Version(version), Digest: spec.Digest(fs.Arg(1))}
	return c.command(ctx, e, cmd)
}

func status(ctx context.Context, e *env, args []string) error {
	fs := e.newFlags("bundle status")
	open := clientFlags(fs)
	if err := parse(fs, args, 0); err != nil {
		return err
	}
	c, err := open()
	if err != nil {
		return err
	}
	return c.ask(ctx, codec.Encode(codec.Status, msgs.Status{}), func(reply []byte) (bool, string) {
		m, err := codec.Decode[msgs.StatusReply](reply)
		if err != nil || !m.Leads {
			return false, leaderOf(m)
		}
		enc := json.NewEncoder(e.out)
		enc.SetIndent("", "  ")
		return enc.Encode(m) == nil, ""
	})
}

func leaderOf(m *msgs.StatusReply) string {
	if m == nil {
		return ""
	}
	return m.Leader
}

func runMember(ctx context.Context, e *env, args []string) error {
	if len(args) == 0 || args[0] != "add" && args[0] != "remove" {
		return fmt.Errorf("%w: add or remove?", errUsage)
	}
	fs := e.newFlags("member " + args[0])
	open := clientFlags(fs)
	if err := parse(fs, args[1:], 1); err != nil {
		return err
	}
	c, err := open()
	if err != nil {
		return err
	}
	m := &msgs.MemberChange{ID: c.id, Operator: c.settings.Operator, Name: fs.Arg(0), Remove: args[0] == "remove"}
	m.Signature = c.settings.Sign(m.SignedBytes())
	result, err := c.perform(ctx, codec.Member, m)
	if err != nil {
		return err
	}
	if result.Code != state.Done {
		return &commandError{result}
	}
	fmt.Fprintln(e.out, result.Text)
	return nil
}
