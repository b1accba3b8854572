// Package stage runs a small deployment of the project's programs on loopback
// addresses for the cases of the second review: directory and relay processes,
// and stand-ins for backend servers, clients, the routers and the operator. It
// writes what was sent, answered and run to a record.
package stage
