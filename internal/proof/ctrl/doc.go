// Package ctrl tests the replicated log and the bundle versions under faults.
// Its test files run several control hosts with in-memory disks in a seeded,
// deterministic simulation and check invariants; the package has no other code.
package ctrl
