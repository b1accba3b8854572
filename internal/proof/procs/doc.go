// Package procs contains end-to-end tests. They run the program as real processes with
// real files and send these processes signals such as SIGKILL; the simulations of the
// other packages use fakes instead.
package procs
