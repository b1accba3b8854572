package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Names and addresses of the example's two services, the data centre, and the slots
// of each server.
const (
	requestService = "tickets"
	streamService  = "punnitus"
	requestVIP     = "198.51.100.10:7000"
	streamVIP      = "198.51.100.20:7001"
	centre         = "oulu1"
	serverSlots    = 16
)

func (r *runner) writeFile(name, text string) error {
	return os.WriteFile(filepath.Join(r.folder, name), []byte(text), 0o600)
}

func (r *runner) path(name string) string { return filepath.Join(r.folder, name) }

func (r *runner) controlAddr(i, portOffset int) string {
	return fmt.Sprintf("127.0.10.%d:%d", i+1, r.basePort+portOffset)
}

func (r *runner) entryAddr(i, portOffset int) string {
	return fmt.Sprintf("127.0.20.%d:%d", i+1, r.basePort+portOffset)
}
func (r *runner) serverAddr(i int) string { return fmt.Sprintf("127.0.30.%d:%d", i+1, r.basePort) }
func (r *runner) clientAddr() string      { return fmt.Sprintf("127.0.40.1:%d", r.basePort) }

// Ports of a control host, as offsets from the base port.
const (
	portControlPeer  = 0
	portControlAdmin = 1
)

// Ports of an entry host, as offsets from the base port.
const (
	portFabric = iota
	portAnswers
	portPeer
	portAnnounce
	portAdmin
)

// tomlArray returns a TOML array of strings.
func tomlArray(list []string) string {
	return `["` + strings.Join(list, `", "`) + `"]`
}

// generate returns the results of f for 0 to n-1.
func generate(n int, f func(i int) string) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = f(i)
	}
	return out
}

// writeSettings creates the keys and writes the settings file of each process.
func (r *runner) writeSettings() error {
	publicKey, err := r.runTool("keys", "operator", r.path("matti.key"))
	if err != nil {
		return err
	}
	if _, err := r.runTool("keys", "shared", r.path("shared.key")); err != nil {
		return err
	}
	operator := fmt.Sprintf("\n[[operator]]\nname = \"matti\"\nkey = %q\n", publicKey)
	controls := generate(r.opts.controls, func(i int) string { return r.controlAddr(i, portControlPeer) })
	var hosts strings.Builder
	for i, addr := range controls {
		fmt.Fprintf(&hosts, "\n[[control]]\nname = \"c%d\"\naddress = %q\ninitial = true\n", i+1, addr)
	}
	for i := range r.opts.controls {
		text := fmt.Sprintf("name = \"c%d\"\ndataCentre = %q\nadmin = %q\ndataFolder = %q\nkeyFile = \"shared.key\"\n",
			i+1, centre, r.controlAddr(i, portControlAdmin), r.path(fmt.Sprintf("c%d-data", i+1)))
		if err := r.writeFile(fmt.Sprintf("c%d.toml", i+1), text+hosts.String()+operator); err != nil {
			return err
		}
	}
	for i := range r.opts.entries {
		if err := r.writeFile(fmt.Sprintf("e%d.toml", i+1), r.entrySettings(i, controls)+operator); err != nil {
			return err
		}
	}
	operatorSettings := fmt.Sprintf("operator = \"matti\"\noperatorKey = \"matti.key\"\nkeyFile = \"shared.key\"\ncontrols = %s\n", tomlArray(controls))
	return r.writeFile("operator.toml", operatorSettings)
}

func (r *runner) entrySettings(i int, controls []string) string {
	var seeds []string
	for j := range r.opts.entries {
		if j != i {
			seeds = append(seeds, r.entryAddr(j, portPeer))
		}
	}
	return fmt.Sprintf("name = \"e%d\"\ndataCentre = %q\nfabric = %q\nanswers = %q\npeer = %q\nannounce = %q\nadmin = %q\nkeyFile = \"shared.key\"\nseeds = %s\ncontrols = %s\n",
		i+1, centre, r.entryAddr(i, portFabric), r.entryAddr(i, portAnswers), r.entryAddr(i, portPeer), r.entryAddr(i, portAnnounce), r.entryAddr(i, portAdmin), tomlArray(seeds), tomlArray(controls))
}

// writeBundle writes the bundle of a version and returns its path. The idle timeout
// depends on the version, so that versions differ.
func (r *runner) writeBundle(version int) (string, error) {
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
	return r.path(name), r.writeFile(name, text)
}
