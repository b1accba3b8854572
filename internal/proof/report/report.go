// Package report collects the results of a fault-injection matrix and writes them
// as a Markdown table.
package report

import (
	"fmt"
	"os"
	"strings"
	"sync"
)

// Matrix holds one result for each pair of row and column. It is safe for
// concurrent use.
type Matrix struct {
	title   string
	command string
	columns []string
	rows    []string
	mu      sync.Mutex
	cells   map[[2]string]string
}

// New returns a Matrix without results. The table that Write produces names command
// as the command that generated it.
func New(title, command string, rows, columns []string) *Matrix {
	return &Matrix{title: title, command: command, rows: rows, columns: columns, cells: map[[2]string]string{}}
}

// Record records whether all invariants held in one run of a cell. A cell with a
// failed run stays failed.
func (m *Matrix) Record(row, column string, held bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := [2]string{row, column}
	switch {
	case !held:
		m.cells[key] = "**failed**"
	case m.cells[key] == "":
		m.cells[key] = "held"
	}
}

// Write writes the table to path. A cell without a result reads "not run".
func (m *Matrix) Write(path string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\nWritten by `%s`.\n\n| |", m.title, m.command)
	for _, c := range m.columns {
		fmt.Fprintf(&b, " %s |", c)
	}
	b.WriteString("\n|" + strings.Repeat(" --- |", len(m.columns)+1) + "\n")
	for _, r := range m.rows {
		fmt.Fprintf(&b, "| %s |", r)
		for _, c := range m.columns {
			result := m.cells[[2]string{r, c}]
			if result == "" {
				result = "not run"
			}
			fmt.Fprintf(&b, " %s |", result)
		}
		b.WriteString("\n")
	}
	return os.WriteFile(path, []byte(b.String()), 0o600)
}

// Run runs the tests, writes the table to path unless path is empty, and returns
// the exit code.
func (m *Matrix) Run(tests interface{ Run() int }, path string) int {
	code := tests.Run()
	if path == "" {
		return code
	}
	if err := m.Write(path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return code
}
