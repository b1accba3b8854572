package stage

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record is the record of one run. All methods are safe for concurrent use.
type Record struct {
	mu     sync.Mutex
	start  time.Time
	file   *os.File
	out    *bufio.Writer
	broken []string
}

// NewRecord creates record.txt in a folder.
func NewRecord(folder string) (*Record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// Since returns the time since the start of the run.
func (r *Record) Since() time.Duration { return time.Since(r.start) }

// Log writes a line with the time since the start of the run.
func (r *Record) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Broken records that a rule was broken.
func (r *Record) Broken(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	r.Log("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// Violations returns how often a rule was broken.
func (r *Record) Violations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken)
}

// Close writes the outcome and closes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f end of the run, %d violations\n", time.Since(r.start).Seconds(), len(r.broken))
	_ = r.out.Flush()
	_ = r.file.Close()
}
