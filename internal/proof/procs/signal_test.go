package procs_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// signalWait is how long the test waits to see whether a signal ends a process.
const signalWait = 300 * time.Millisecond

// TestSIGHUPBeforeSettingsDoesNotEndProcess sends SIGHUP to a process that is
// still reading its settings, as happens with a slow disk. A named pipe as the
// settings file makes the process wait.
func TestSIGHUPBeforeSettingsDoesNotEndProcess(t *testing.T) {
	bin := build(qt.New(t), t.TempDir())
	for _, command := range []string{"relay", "directory"} {
		t.Run(command, func(t *testing.T) {
			c := qt.New(t)
			pipe := filepath.Join(c.TempDir(), "settings.toml")
			c.Assert(syscall.Mkfifo(pipe, 0o600), qt.IsNil)
			cmd := exec.Command(bin, command, "-settings", pipe)
			c.Assert(cmd.Start(), qt.IsNil)
			exited := make(chan error, 1)
			go func() { exited <- cmd.Wait() }()
			// Opening a pipe for writing blocks until the process has opened it for
			// reading.
			writer, err := os.OpenFile(pipe, os.O_WRONLY, 0)
			c.Assert(err, qt.IsNil)
			defer writer.Close()
			for range 3 {
				c.Assert(cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
			}
			select {
			case err := <-exited:
				c.Fatalf("SIGHUP ended the process: %v", err)
			case <-time.After(signalWait):
			}
			c.Assert(cmd.Process.Kill(), qt.IsNil)
			<-exited
		})
	}
}
