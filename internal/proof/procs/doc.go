// Package procs proves with real processes, real files and kill -9 what the
// other proofs show with fakes. All of it stands in its test files.
package procs
