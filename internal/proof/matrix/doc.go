// Package matrix proves the promises of the brief: it joins several decision
// machines by a small queue, brings about each fault at each step, and checks
// the promises. All of it stands in its test files.
package matrix
