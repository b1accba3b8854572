// Package report collects the verdicts of a fault matrix and writes them as a
// table.
package report

import (
	"fmt"
	"os"
	"strings"
	"sync"
)

// Matrix holds the verdicts of cells. It is safe for concurrent use.
type Matrix struct {
	title   string
	command string
	columns []string
	rows    []string
	mu      sync.Mutex
	cells   map[[2]string]string
}

// New returns an empty Matrix. Command is the one that fills it.
func New(title, command string, rows, columns []string) *Matrix {
	return &Matrix{title: title, command: command, rows: rows, columns: columns, cells: map[[2]string]string{}}
}

// Note records whether the promises held in a cell. A cell that failed once
// stays failed.
func (m *Matrix) Note(row, column string, held bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := [2]string{row, column}
	switch {
	case !held:
		m.cells[at] = "**failed**"
	case m.cells[at] == "":
		m.cells[at] = "held"
	}
}

// Write writes the table to path. Cells that were not run say so.
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
			cell := m.cells[[2]string{r, c}]
			if cell == "" {
				cell = "not run"
			}
			fmt.Fprintf(&b, " %s |", cell)
		}
		b.WriteString("\n")
	}
	return os.WriteFile(path, []byte(b.String()), 0o600)
}

// Run runs tests, writes m to path unless it is empty, and returns the exit code.
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
