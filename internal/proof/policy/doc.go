// Package policy compares three strategies of assigning flows to servers on one
// trace of server and host changes: pure hashing, flow tables on each host with
// digests of exceptions, and a home host for each flow that replicates the
// exceptions to its successor. The package has only test files.
package policy
