// Package matrix tests entry hosts under faults. Its test files run several entry
// hosts with simulated servers, clients and a control host in a deterministic
// simulation, inject faults alone, in pairs and at random, and check invariants;
// the package has no other code.
package matrix
