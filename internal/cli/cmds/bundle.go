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

// errNoAnswer is returned if no control host accepted a command in time. The
// command may have been applied nevertheless: sending it again with the same ID
// returns its result.
var errNoAnswer = errors.New("no control host accepted the request in time; to resend a command, pass the same -id")

const (
	callTimeout = 2 * time.Second // of a call to one control host
	retryPause  = 200 * time.Millisecond
)

// operatorClient sends an operator's commands to the control hosts.
type operatorClient struct {
	settings *node.CLI
	id       string
	timeout  time.Duration
}

// operatorFlags adds the flags that all operator commands share. The returned
// function creates the operatorClient after the flags are parsed.
func operatorFlags(fs *flag.FlagSet) func() (*operatorClient, error) {
	path := fs.String("settings", "operator.toml", "the operator's settings `FILE`")
	id := fs.String("id", "", "command `ID`; to resend a command, pass its ID again (default: a random one)")
	timeout := fs.Duration("timeout", 15*time.Second, "give up after this `DURATION`")
	return func() (*operatorClient, error) {
		settings, err := node.LoadCLI(*path)
		if err != nil {
			return nil, err
		}
		if *id == "" {
			*id = newID()
		}
		return &operatorClient{settings, *id, *timeout}, nil
	}
}

// newID returns a random command ID.
func newID() string {
	b := make([]byte, 12)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// callHosts sends body to the control hosts in turn until accept reports that the
// reply is final. If it is not, accept may return the address of the leader. If
// that is another one of the configured addresses, it is tried next, without a
// pause. The error is errNoAnswer if the timeout expires first.
func (c *operatorClient) callHosts(ctx context.Context, body []byte, accept func(reply []byte) (done bool, next string)) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var addrs []string
	for _, e := range c.settings.Controls {
		addrs = append(addrs, e.String())
	}
	addr := addrs[0]
	for i := 1; ctx.Err() == nil; i++ {
		callCtx, cancelCall := context.WithTimeout(ctx, callTimeout)
		reply, err := link.Call(callCtx, addr, c.settings.Key(), body)
		cancelCall()
		next := ""
		if err == nil {
			var done bool
			if done, next = accept(reply); done {
				return nil
			}
		}
		if next == "" || next == addr || !slices.Contains(addrs, next) {
			next = addrs[i%len(addrs)]
			pause(ctx, retryPause)
		}
		addr = next
	}
	return errNoAnswer
}

// pause waits for d or until ctx is canceled.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// sendCommand sends a command until a control host decides it, and returns its result.
func (c *operatorClient) sendCommand(ctx context.Context, kind codec.Kind, v any) (state.Result, error) {
	var result state.Result
	err := c.callHosts(ctx, codec.Encode(kind, v), func(reply []byte) (bool, string) {
		m, err := codec.Decode[msgs.CommandReply](reply)
		if err != nil {
			return false, ""
		}
		result = m.Result
		return m.Result.Code != state.Unavailable, m.Leader
	})
	return result, err
}

// commandError reports a command that the control hosts rejected.
type commandError struct{ result state.Result }

func (e *commandError) Error() string {
	text := string(e.result.Code)
	if e.result.Text != "" {
		text += ": " + e.result.Text
	}
	if e.result.ApprovedDigest != "" {
		text += ": another bundle is approved for this version, with digest " + string(e.result.ApprovedDigest)
	}
	return text
}

// signAndSend fills in the ID and the operator of a command, signs and sends it,
// and prints the result.
func (c *operatorClient) signAndSend(ctx context.Context, e *env, cmd *state.Command) error {
	cmd.ID, cmd.Operator = c.id, c.settings.Operator
	cmd.Signature = c.settings.Sign(cmd.SignedBytes())
	result, err := c.sendCommand(ctx, codec.Command, cmd)
	if err != nil {
		return fmt.Errorf("command ID %s: %w", c.id, err)
	}
	if result.Code != state.Done {
		return &commandError{result}
	}
	fmt.Fprintf(e.out, "%s: %s version %d digest %s\n", cmd.Kind, result.Code, result.Version, result.Digest)
	return nil
}

func runBundle(ctx context.Context, e *env, args []string) error {
	if len(args) == 0 {
		return fmt.Errorf("%w: expected publish, approve, roll, resume or status", errUsage)
	}
	switch args[0] {
	case "publish":
		return publish(ctx, e, args[1:])
	case "approve":
		return runByDigest(ctx, e, state.Approve, args[1:])
	case "roll":
		return runByDigest(ctx, e, state.Roll, args[1:])
	case "resume":
		return runByDigest(ctx, e, state.Resume, args[1:])
	case "status":
		return status(ctx, e, args[1:])
	default:
		return fmt.Errorf("%w: unknown command %q, expected publish, approve, roll, resume or status", errUsage, args[0])
	}
}

func publish(ctx context.Context, e *env, args []string) error {
	fs := e.newFlags("bundle publish")
	newClient := operatorFlags(fs)
	if err := parse(fs, args, 1); err != nil {
		return err
	}
	b, err := loadBundle(fs.Arg(0))
	if err != nil {
		return err
	}
	c, err := newClient()
	if err != nil {
		return err
	}
	return c.signAndSend(ctx, e, &state.Command{Kind: state.Publish, Version: b.Version(), Digest: b.Digest(), Text: b.Text()})
}

// runByDigest runs a command on the bundle with the version and the digest that
// args name.
func runByDigest(ctx context.Context, e *env, kind state.Kind, args []string) error {
	fs := e.newFlags("bundle " + string(kind))
	newClient := operatorFlags(fs)
	if err := parse(fs, args, 2); err != nil {
		return err
	}
	version, err := strconv.ParseUint(fs.Arg(0), 10, 32)
	if err != nil {
		return fmt.Errorf("%w: version %q is not an unsigned 32-bit number", errUsage, fs.Arg(0))
	}
	c, err := newClient()
	if err != nil {
		return err
	}
	cmd := &state.Command{Kind: kind, Version: spec.Version(version), Digest: spec.Digest(fs.Arg(1))}
	return c.signAndSend(ctx, e, cmd)
}

func status(ctx context.Context, e *env, args []string) error {
	fs := e.newFlags("bundle status")
	newClient := operatorFlags(fs)
	if err := parse(fs, args, 0); err != nil {
		return err
	}
	c, err := newClient()
	if err != nil {
		return err
	}
	return c.callHosts(ctx, codec.Encode(codec.Status, msgs.Status{}), func(reply []byte) (bool, string) {
		m, err := codec.Decode[msgs.StatusReply](reply)
		if err != nil || !m.Leads {
			return false, leaderOf(m)
		}
		enc := json.NewEncoder(e.out)
		enc.SetIndent("", "  ")
		return enc.Encode(m) == nil, ""
	})
}

// leaderOf returns the address of the leader, or "" if m is nil or names none.
func leaderOf(m *msgs.StatusReply) string {
	if m == nil {
		return ""
	}
	return m.Leader
}

func runMember(ctx context.Context, e *env, args []string) error {
	if len(args) == 0 || args[0] != "add" && args[0] != "remove" {
		return fmt.Errorf("%w: expected add or remove", errUsage)
	}
	fs := e.newFlags("member " + args[0])
	newClient := operatorFlags(fs)
	if err := parse(fs, args[1:], 1); err != nil {
		return err
	}
	c, err := newClient()
	if err != nil {
		return err
	}
	m := &msgs.MemberChange{ID: c.id, Operator: c.settings.Operator, Name: fs.Arg(0), Remove: args[0] == "remove"}
	m.Signature = c.settings.Sign(m.SignedBytes())
	result, err := c.sendCommand(ctx, codec.MemberChange, m)
	if err != nil {
		return err
	}
	if result.Code != state.Done {
		return &commandError{result}
	}
	fmt.Fprintln(e.out, result.Text)
	return nil
}
