// Package soak runs the relay and the directory as separate processes on
// loopback addresses and brings random faults to them from outside: signals,
// restarts, and connections that a proxy delays, resets, cuts or silences.
package soak
