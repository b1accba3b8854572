// Package procs contains end-to-end tests of what the simulations test with
// fakes: they run the program as real processes with real files and end these
// with SIGKILL.
package procs
