// Package subset splits the servers of a data centre among its entry hosts. It is
// designed for demand above what the servers bear, seen by so many entry hosts that each
// sees only a few of the requests of a server: hosts that decide by exchanged loads all
// open on the same servers at once, and then all refuse. An entry host that owns places
// of a server knows by its own counts whether there is room.
//
// The places of all servers form a line, in an order that all hosts know. Each host owns
// an equal segment of it. No message is needed but the list of the hosts.
package subset

import "slices"

// Split returns how many places of each server a host owns. Places holds the number of
// places of each server, and hosts the sorted hosts that share them. It returns nil if
// self is not one of the hosts.
func Split(hosts []uint64, self uint64, places []int) []int {
	rank, found := slices.BinarySearch(hosts, self)
	if !found {
		return nil
	}
	return Segment(rank, len(hosts), places)
}

// Segment returns how many places of each server the host with a rank owns, of a number
// of hosts.
func Segment(rank, hosts int, places []int) []int {
	total := 0
	for _, p := range places {
		total += p
	}
	first, end := rank*total/hosts, (rank+1)*total/hosts
	owned := make([]int, len(places))
	at := 0
	for i, p := range places {
		owned[i] = max(min(end, at+p)-max(first, at), 0)
		at += p
	}
	return owned
}
