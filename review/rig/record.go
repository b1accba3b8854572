package rig

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	// Held means that no rule was broken, Broken that one was, and NotRun that the case
	// could not be run.
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record writes what happened to a file, with the time since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file at path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Printf writes a line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f ", time.Since(r.start).Seconds())
	_, _ = fmt.Fprintf(r.file, format+"\n", args...)
}

// Close closes the file.
func (r *Record) Close() error { return r.file.Close() }
