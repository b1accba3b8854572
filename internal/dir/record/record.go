// Package record encodes the state of backend servers in a compact form, for links of
// few megabits and hosts short of processor time. A record takes about 20 bytes, a
// tenth of the same in msgpack.
//
// A block is a sequence of records that is encoded once and sent to many hosts. It
// starts with the version of the form and a table of the services, data centres and
// prefixes of IDs, which the records refer to by number. Integers are in the variable
// length form of package encoding/binary unless stated otherwise.
//
// The names after those that records refer to are extensions, whose first byte is their
// kind. A build that does not know an extension ignores it.
package record

import (
	"errors"
)

// The first byte of a block is its version. A block with a cold server has warmVersion,
// which builds before it refuse as a whole; in version they would take the time left as
// the start of the next record.
const (
	version     = 1
	warmVersion = 2
)

// Errors returned by Decode.
var (
	// ErrVersion is returned for a block in a form that this program does not know.
	ErrVersion = errors.New("block of server records: unknown version")
	// ErrMalformed is returned for a block that ends early, refers to a name that it
	// does not have, or holds an invalid value.
	ErrMalformed = errors.New("block of server records: malformed")
)

// Flags of a record.
const (
	stateMask = 3
	// silentFlag and endedFlag are the fields Silent and Ended.
	silentFlag = 4
	endedFlag  = 8
	// startedFlag is set if the record has a start time.
	startedFlag = 16
	// derivedFlag is set if the ID is a prefix followed by the number in hexadecimal.
	derivedFlag = 32
	// longFlag is set if the address is in text form, and not an IPv4 address.
	longFlag = 64
	// warmupFlag is set, in warmVersion only, if the record ends with the time for which
	// the server is cold.
	warmupFlag = 128
)

// aliasKind is the kind of the extension with the aliases of servers: the number of the
// record, the number of aliases and, for each, its start and age.
const aliasKind = 1

// maxDigits is the number of hexadecimal digits of the highest number.
const maxDigits = 16
