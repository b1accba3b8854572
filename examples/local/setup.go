package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Services of the example, by the names of its first users.
const (
	requestService = "tickets"
	streamService  = "punnitus"
	requestVIP     = "198.51.100.10:7000"
	streamVIP      = "198.51.100.20:7001"
	centre         = "oulu1"
	serverSlots    = 16
)

func (r *runner) write(name, text string) error {
	return os.WriteFile(filepath.Join(r.folder, name), []byte(text), 0o600)
}

func (r *runner) path(name string) string { return filepath.Join(r.folder, name) }

func (r *runner) control(i, port int) string { return fmt.Sprintf("127.0.10.%d:%d", i+1, r.base+port) }

func (r *runner) entry(i, port int) string { return fmt.Sprintf("127.0.20.%d:%d", i+1, r.base+port) }
func (r *runner) server(i int) string      { return fmt.Sprintf("127.0.30.%d:%d", i+1, r.base) }
func (r *runner) caller() string           { return fmt.Sprintf("127.0.40.1:%d", r.base) }

// Ports of an entry host, counted from the base.
const (
	portFabric = iota
	portAnswers
	portPeer
	portAnnounce
	portAdmin
)

func quoted(list []string) string {
	return `["` + strings.Join(list, `", "`) + `"]`
}

func each(n int, f func(i int) string) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = f(i)
	}
	return out
}

// settings writes the keys and the settings file of each process.
func (r *runner) settings() error {
	public, err := r.tool("keys", "operator", r.path("matti.key"))
	if err != nil {
		return err
	}
	if _, err := r.tool("keys", "shared", r.path("shared.key")); err != nil {
		return err
	}
	operator := fmt.Sprintf("\n[[operator]]\nname = \"matti\"\nkey = %q\n", public)
	controls := each(r.opts.controls, func(i int) string { return r.control(i, 0) })
	var hosts strings.Builder
	for i, addr := range controls {
		fmt.Fprintf(&hosts, "\n[[control]]\nname = \"c%d\"\naddress = %q\ninitial = true\n", i+1, addr)
	}
	for i := range r.opts.controls {
		text := fmt.Sprintf("name = \"c%d\"\ndataCentre = %q\nadmin = %q\ndataFolder = %q\nkeyFile = \"shared.key\"\n",
			i+1, centre, r.control(i, 1), r.path(fmt.Sprintf("c%d-data", i+1)))
		if err := r.write(fmt.Sprintf("c%d.toml", i+1), text+hosts.String()+operator); err != nil {
			return err
		}
	}
	for i := range r.opts.entries {
		if err := r.write(fmt.Sprintf("e%d.toml", i+1), r.entrySettings(i, controls)+operator); err != nil {
			return err
		}
	}
	client := fmt.Sprintf("operator = \"matti\"\noperatorKey = \"matti.key\"\nkeyFile = \"shared.key\"\ncontrols = %s\n", quoted(controls))
	return r.write("operator.toml", client)
}

func (r *runner) entrySettings(i int, controls []string) string {
	var seeds []string
	for j := range r.opts.entries {
		if j != i {
			seeds = append(seeds, r.entry(j, portPeer))
		}
	}
	return fmt.Sprintf("name = \"e%d\"\ndataCentre = %q\nfabric = %q\nanswers = %q\npeer = %q\nannounce = %q\nadmin = %q\nkeyFile = \"shared.key\"\nseeds = %s\ncontrols = %s\n",
		i+1, centre, r.entry(i, portFabric), r.entry(i, portAnswers), r.entry(i, portPeer), r.entry(i, portAnnounce), r.entry(i, portAdmin), quoted(seeds), quoted(controls))
}

// bundle writes the bundle of a version and returns its file.
func (r *runner) bundle(version int) (string, error) {
	text := fmt.Sprintf(`version = %d

[[dataCentre]]
name = %q

[[service]]
name = %q
kind = "request"
protocol = "udp"
addresses = [%q]
ledger = "60s"

[service.limits]
slots = %d

[[service]]
name = %q
kind = "stream"
protocol = "tcp"
addresses = [%q]
idle = "%dm"

[service.limits]
connections = 2000
`, version, centre, requestService, requestVIP, serverSlots, streamService, streamVIP, 10+version)
	name := fmt.Sprintf("bundle-%d.toml", version)
	return r.path(name), r.write(name, text)
}
