package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	directory "monsooncleat.example/monsooncleat/internal/dir/daemon"
	"monsooncleat.example/monsooncleat/internal/dir/evac"
	"monsooncleat.example/monsooncleat/platform"
)

const (
	// evacuationTimeout exceeds the time after which a control host answers without a
	// quorum.
	evacuationTimeout = 3 * time.Second
	maxEvacuationBody = 1 << 20 // bytes
)

var (
	// errNotConfirmed is returned if a control host could not be sure that an order holds.
	errNotConfirmed = errors.New("not confirmed; if the order still stands, repeat it, also to another control host")
	// errNoList is returned if a control host could not be sure of the list.
	errNoList = errors.New("no list that a quorum confirmed; try another control host")
)

func runEvacuations(ctx context.Context, e *env, args []string) error {
	if len(args) == 0 {
		return fmt.Errorf("%w: expected list, start or end", errUsage)
	}
	action, want := args[0], 1
	if action == "list" {
		want = 0
	}
	methods := map[string]string{"list": http.MethodGet, "start": http.MethodPost, "end": http.MethodDelete}
	method, known := methods[action]
	if !known {
		return fmt.Errorf("%w: unknown action %q, expected list, start or end", errUsage, action)
	}
	fs := e.newFlags("evacuations " + action)
	control := fs.String("control", "", "admin `ADDRESS` of a control host (default: that of the host whose settings MONSOONCLEAT_CONFIG names)")
	if err := parse(fs, args[1:], want); err != nil {
		return err
	}
	address, err := adminAddress(*control)
	if err != nil {
		return err
	}
	path := "/evacuations"
	if want == 1 {
		path += "/" + url.PathEscape(fs.Arg(0))
	}
	body, err := callAdmin(ctx, method, "http://"+address+path)
	if err != nil {
		return err
	}
	if action == "list" {
		return e.printEvacuations(body)
	}
	return e.printOrder(body)
}

// adminAddress returns the admin address to call.
func adminAddress(flag string) (string, error) {
	if flag != "" {
		return flag, nil
	}
	path := platform.SettingsPath()
	if path == "" {
		return "", fmt.Errorf("%w: expected -control, as MONSOONCLEAT_CONFIG is not set", errUsage)
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		return "", err
	}
	return s.Admin.String(), nil
}

// callAdmin calls the admin address of a control host and returns the body of its answer.
func callAdmin(ctx context.Context, method, address string) ([]byte, error) {
	unsure := errNotConfirmed
	if method == http.MethodGet {
		unsure = errNoList
	}
	ctx, cancel := context.WithTimeout(ctx, evacuationTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, address, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", unsure, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxEvacuationBody))
	switch {
	case response.StatusCode == http.StatusServiceUnavailable || err != nil:
		return nil, unsure
	case response.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(string(body)))
	}
	return body, nil
}

// printEvacuations prints the data centres as a table.
func (e *env) printEvacuations(body []byte) error {
	var uses []evac.Use
	if err := json.Unmarshal(body, &uses); err != nil {
		return fmt.Errorf("decode list: %w", err)
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DATA CENTRE\tSTATE\tSINCE\tSERVERS\tREQUESTS IN FLIGHT\tLONG FLOWS")
	for _, u := range uses {
		state, since := "in service", "-"
		if u.Evacuated {
			state = "evacuated"
		}
		if u.SinceMillis > 0 {
			since = clock.Millis(u.SinceMillis).Duration().Round(time.Second).String()
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.1f\t%.0f\n", u.Centre, state, since, u.Servers, u.InFlight, u.Flows)
	}
	return w.Flush()
}

// printOrder prints the outcome of an order.
func (e *env) printOrder(body []byte) error {
	var r directory.EvacuationReply
	if err := json.Unmarshal(body, &r); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	state := "in service"
	if r.Evacuated {
		state = "evacuated"
	}
	fmt.Fprintf(e.out, "%s: %s\n", r.Centre, state)
	for _, s := range r.Short {
		fmt.Fprintf(e.out, "warning: service %s has %.0f requests in flight and %d slots left\n", s.Service, s.InFlight, s.Slots)
	}
	return nil
}
