// Package soak runs the relay and the directory as separate processes on loopback
// addresses and injects random faults: signals, restarts, and proxies that delay or
// reset connections or drop data in one or both directions.
package soak
