// Package ctrl proves that the agreed log and the bundle versions hold under
// faults: it joins several control hosts by a seeded queue with fake disks.
// All of it stands in its test files.
package ctrl
