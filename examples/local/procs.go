package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// process is one started program.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// start runs a program with its output in a log file.
func (r *runner) start(name, program string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(r.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(r.opts.bin, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	r.procs = append(r.procs, p)
	return p, nil
}

// stop ends a process gracefully and waits for it.
func (p *process) stop(limit time.Duration) error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return nil
	case <-time.After(limit):
		p.kill()
		return fmt.Errorf("%s did not stop in %s", p.name, limit)
	}
}

// kill ends a process without warning.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// tool runs a monsooncleat command and returns what it printed.
func (r *runner) tool(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(r.opts.bin, "monsooncleat"), args...)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	if err := cmd.Run(); err != nil {
		return "", fmt.Errorf("monsooncleat %s: %w: %s", strings.Join(args[:min(2, len(args))], " "), err, strings.TrimSpace(errOut.String()))
	}
	return strings.TrimSpace(out.String()), nil
}

// close ends what still runs.
func (r *runner) close() {
	for _, p := range r.procs {
		if p.running() {
			p.kill()
		}
	}
	if r.opts.keep == "" {
		_ = os.RemoveAll(r.folder)
	}
}

// tellLogs prints the end of each log after a failed run.
func (r *runner) tellLogs() {
	const most = 1500
	files, _ := filepath.Glob(filepath.Join(r.folder, "*.log"))
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err == nil && len(b) > 0 {
			fmt.Fprintf(os.Stderr, "--- %s\n%s\n", filepath.Base(f), b[max(0, len(b)-most):])
		}
	}
}
