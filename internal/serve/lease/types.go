// Package lease divides the slots of backend servers among the entry hosts of a
// data centre. A slot is one request that a server may run at a time. For each
// server, one host is the lease keeper. It grants leases on the server's slots,
// and never more in total than the server has. The holders of the leases renew
// them periodically with lease requests, not once per request. The lease keeper
// is independent of the keeper of package roster, which receives the server's
// heartbeats.
package lease

import "monsooncleat.example/monsooncleat/internal/base/clock"

// Term is how long a lease is valid. The holder counts it from sending the lease
// request and the keeper from receiving it, so that the lease always expires at
// the holder first.
const Term = 3 * clock.Second

// Request is a holder's periodic message to one keeper. It renews the
// holder's leases, returns surplus slots and requests more.
type Request struct {
	From     string
	Seq      uint64
	Services []RequestService
}

// RequestService holds the servers of one service in a Request.
type RequestService struct {
	Name string
	// Need is the number of slots that the holder needs for the service, and
	// Have the number that it has leased from all keepers.
	Need    int
	Have    int
	Servers []RequestServer
}

// RequestServer is the state of a holder's lease on one server in a
// Request.
type RequestServer struct {
	Name string
	// Held is the number of leased slots to renew.
	Held int
	// Used is the number of slots in use.
	Used int
	// Extra is the number of additional slots that the holder requests.
	Extra int
	// Reclaim asks the keeper to reclaim a slot from the holder with the highest
	// ratio of slots to need, if none is free. A holder sets it for one server of
	// a service in each round, so that the keepers together do not reclaim too
	// many slots from one holder.
	Reclaim bool
}

// Transfer hands the leases on some servers over to their next keeper.
type Transfer struct {
	From    string
	Servers []TransferServer
}

// TransferServer holds the leases on one server in a Transfer.
type TransferServer struct {
	Name    string
	Holders []TransferHolder
}

// TransferHolder is one holder's lease in a Transfer.
type TransferHolder struct {
	Host string
	// Committed is the upper bound of the slots that the holder may be using.
	Committed int
	// Remaining is the remaining time of the lease.
	Remaining clock.Millis
}

// Grant is the answer to the Request with the same Seq.
type Grant struct {
	From    string
	Seq     uint64
	Servers []GrantServer
}

// GrantServer is the lease on one server in a Grant.
type GrantServer struct {
	Name    string
	Granted int
	// Free is the number of slots that are not leased to any holder.
	Free int
}
