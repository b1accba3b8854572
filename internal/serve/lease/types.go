// Package lease shares the slots of backend servers between the entry hosts of
// a data centre. One host, the keeper of a server, grants leases that add up to
// no more than the server's slots; the others hold them and ask now and then,
// never for each request.
package lease

import "monsooncleat.example/monsooncleat/internal/base/clock"

// Term is how long a lease counts. A holder counts from the sending of its
// ask, a keeper from the receipt, so that the holder's lease ends first.
const Term = 3 * clock.Second

// Ask brings a holder's leases at one keeper and its wishes.
type Ask struct {
	From     string
	Seq      uint64
	Services []AskService
}

// AskService groups the servers of one service.
type AskService struct {
	Name string
	// Need is the work that the holder has, Have the slots it holds for it
	// over all keepers.
	Need    int
	Have    int
	Servers []AskServer
}

// AskServer is a holder's lease on one server.
type AskServer struct {
	Name string
	// Held is what the holder keeps, Used what is at work, More what it would
	// take besides.
	Held int
	Used int
	More int
	// Press asks the keeper to take a slot back from a holder that is better
	// off, when none is free. A holder presses for one server in each round,
	// so that the keepers together don't take too much from one holder.
	Press bool
}

// Transfer moves the knowledge of leases to the next keeper of some servers.
type Transfer struct {
	From    string
	Servers []TransferServer
}

// TransferServer is one server that changes its keeper.
type TransferServer struct {
	Name    string
	Holders []TransferHolder
}

// TransferHolder is one holder's lease.
type TransferHolder struct {
	Host  string
	Count int
	// Left is the time that the lease still counts.
	Left clock.Millis
}

// Grant answers an Ask.
type Grant struct {
	From    string
	Seq     uint64
	Servers []GrantServer
}

// GrantServer is the lease on one server.
type GrantServer struct {
	Name    string
	Granted int
	// Free is what the keeper could still grant to anyone.
	Free int
}
