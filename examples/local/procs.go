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

// process is a program that this run started.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// start starts a program. Its output is appended to a log file.
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
	p := &process{name: name, cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	r.procs = append(r.procs, p)
	return p, nil
}

// stop sends SIGTERM and waits for the process to exit. After the timeout it kills
// the process and returns an error.
func (p *process) stop(timeout time.Duration) error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return nil
	case <-time.After(timeout):
		p.kill()
		return fmt.Errorf("%s did not stop within %s", p.name, timeout)
	}
}

// kill sends SIGKILL and waits for the process to exit.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// runTool runs a monsooncleat command and returns its standard output.
func (r *runner) runTool(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(r.opts.bin, "monsooncleat"), args...)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	if err := cmd.Run(); err != nil {
		return "", fmt.Errorf("monsooncleat %s: %w: %s", strings.Join(args[:min(2, len(args))], " "), err, strings.TrimSpace(errOut.String()))
	}
	return strings.TrimSpace(out.String()), nil
}

// close kills the processes that still run and removes a temporary folder.
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

// printLogTails prints the end of each log after a failed run.
func (r *runner) printLogTails() {
	const tailBytes = 1500
	files, _ := filepath.Glob(filepath.Join(r.folder, "*.log"))
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err == nil && len(b) > 0 {
			fmt.Fprintf(os.Stderr, "--- %s\n%s\n", filepath.Base(f), b[max(0, len(b)-tailBytes):])
		}
	}
}
