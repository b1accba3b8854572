// Package record encodes the state of backend servers in a compact form, for links of
// few megabits and hosts short of processor time. A record takes about 20 bytes, a
// tenth of the same in msgpack.
//
// A block is a sequence of records that is encoded once and sent to many hosts. It
// starts with the version of the form and a table of the services, data centres and
// prefixes of IDs, which the records refer to by number. Integers are in the variable
// length form of package encoding/binary unless stated otherwise.
package record

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// version is the first byte of a block.
const version = 1

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
)

// maxDigits is the number of hexadecimal digits of the highest number.
const maxDigits = 16

// Append appends the block of some servers to dst.
func Append(dst []byte, servers []msgs.ServerStatus) []byte {
	e := encoder{numbers: map[string]uint64{}}
	for i := range servers {
		e.add(&servers[i])
	}
	dst = append(dst, version)
	dst = binary.AppendUvarint(dst, uint64(len(e.names)))
	for _, name := range e.names {
		dst = appendString(dst, name)
	}
	dst = binary.AppendUvarint(dst, uint64(len(servers)))
	return append(dst, e.records...)
}

type encoder struct {
	names   []string
	numbers map[string]uint64
	records []byte
}

func (e *encoder) add(s *msgs.ServerStatus) {
	r := &s.Record
	prefix, digits := splitID(r.ID, r.Number)
	b := append(e.records, byte(r.State)&stateMask|flagIf(s.Silent, silentFlag)|flagIf(s.Ended, endedFlag)|
		flagIf(r.Started != 0, startedFlag)|flagIf(digits > 0, derivedFlag)|flagIf(!r.Address.Addr().Is4(), longFlag))
	b = binary.AppendUvarint(b, e.number(r.Service))
	b = binary.AppendUvarint(b, e.number(r.Centre))
	if digits > 0 {
		b = binary.AppendUvarint(b, e.number(prefix))
		b = append(b, byte(digits))
		b = appendNumber(b, r.Number, digits)
	} else {
		b = appendString(b, r.ID)
		b = binary.AppendUvarint(b, r.Number)
	}
	b = binary.AppendUvarint(b, uint64(max(r.Slots, 0)))
	b = binary.AppendUvarint(b, r.Seq)
	b = binary.AppendUvarint(b, uint64(max(s.Age, 0)))
	if r.Started != 0 {
		b = binary.AppendVarint(b, int64(r.Started))
	}
	if r.Address.Addr().Is4() {
		ip := r.Address.Addr().As4()
		b = append(b, ip[:]...)
		b = binary.BigEndian.AppendUint16(b, r.Address.Port())
	} else {
		b = appendString(b, addressText(r.Address))
	}
	e.records = b
}

func flagIf(set bool, flag byte) byte {
	if set {
		return flag
	}
	return 0
}

// addressText returns "" for the zero address.
func addressText(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// number returns the position of a name in the table of the block.
func (e *encoder) number(name string) uint64 {
	n, known := e.numbers[name]
	if !known {
		n = uint64(len(e.names))
		e.numbers[name] = n
		e.names = append(e.names, name)
	}
	return n
}

// splitID splits an ID into a prefix and the number of the hexadecimal digits of
// number that follow it. Digits is 0 if the ID does not end in them.
func splitID(id string, number uint64) (prefix string, digits int) {
	hex := strconv.FormatUint(number, 16)
	prefix, ok := strings.CutSuffix(id, hex)
	if !ok {
		return "", 0
	}
	digits = len(hex)
	for digits < maxDigits && strings.HasSuffix(prefix, "0") {
		prefix, digits = prefix[:len(prefix)-1], digits+1
	}
	return prefix, digits
}

func appendString(dst []byte, s string) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(s)))
	return append(dst, s...)
}

// appendNumber appends a number as big-endian bytes, as many as its digits need.
func appendNumber(dst []byte, number uint64, digits int) []byte {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], number)
	return append(dst, b[8-(digits+1)/2:]...)
}

// Decode returns the servers of a block. Elapsed is the time since it was encoded,
// which adds to their ages.
func Decode(b []byte, elapsed clock.Millis) ([]msgs.ServerStatus, error) {
	if len(b) == 0 || b[0] != version {
		return nil, ErrVersion
	}
	d := decoder{rest: b[1:]}
	for range d.count() {
		d.names = append(d.names, d.text())
	}
	n := d.count()
	servers := make([]msgs.ServerStatus, 0, n)
	for range n {
		servers = append(servers, d.server(elapsed))
		if d.failed {
			return nil, fmt.Errorf("%w: record %d of %d", ErrMalformed, len(servers), n)
		}
	}
	if d.failed || len(d.rest) > 0 {
		return nil, fmt.Errorf("%w: %d bytes after %d records", ErrMalformed, len(d.rest), n)
	}
	return servers, nil
}

// All returns the servers of a list and of blocks.
func All(list []msgs.ServerStatus, blocks []msgs.Block) ([]msgs.ServerStatus, error) {
	for _, b := range blocks {
		servers, err := Decode(b.Data, b.Age)
		if err != nil {
			return nil, err
		}
		list = append(list, servers...)
	}
	return list, nil
}

// decoder reads from rest. After a value that is malformed, failed is set and all
// values are zero.
type decoder struct {
	rest   []byte
	names  []string
	failed bool
}

func (d *decoder) fail() {
	d.failed = true
	d.rest = nil
}

func (d *decoder) take(n uint64) []byte {
	if n > uint64(len(d.rest)) {
		d.fail()
		return nil
	}
	b := d.rest[:n]
	d.rest = d.rest[n:]
	return b
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

// count reads the number of items that follow. Each takes a byte or more.
func (d *decoder) count() uint64 {
	n := d.uvarint()
	if n > uint64(len(d.rest)) {
		d.fail()
		return 0
	}
	return n
}

func (d *decoder) text() string { return string(d.take(d.uvarint())) }

func (d *decoder) name() string {
	n := d.uvarint()
	if n >= uint64(len(d.names)) {
		d.fail()
		return ""
	}
	return d.names[n]
}

func (d *decoder) server(elapsed clock.Millis) msgs.ServerStatus {
	flags := d.take(1)
	if d.failed {
		return msgs.ServerStatus{}
	}
	f := flags[0]
	s := msgs.ServerStatus{Silent: f&silentFlag != 0, Ended: f&endedFlag != 0}
	r := &s.Record
	r.State, r.Service, r.Centre = fleet.State(f&stateMask), d.name(), d.name()
	if f&derivedFlag != 0 {
		r.ID, r.Number = d.derivedID()
	} else {
		r.ID, r.Number = d.text(), d.uvarint()
	}
	r.Slots = int(min(d.uvarint(), math.MaxInt32))
	r.Seq = d.uvarint()
	s.Age = clock.Millis(min(d.uvarint(), math.MaxInt32)) + elapsed
	if f&startedFlag != 0 {
		started, n := binary.Varint(d.rest)
		if n <= 0 {
			d.fail()
			return s
		}
		d.rest, r.Started = d.rest[n:], clock.Millis(started)
	}
	r.Address = d.address(f&longFlag != 0)
	if r.State == 0 || r.ID == "" {
		d.fail()
	}
	return s
}

func (d *decoder) derivedID() (id string, number uint64) {
	prefix, width := d.name(), d.take(1)
	if d.failed || width[0] == 0 || width[0] > maxDigits {
		d.fail()
		return "", 0
	}
	digits := int(width[0])
	for _, b := range d.take(uint64(digits+1) / 2) {
		number = number<<8 | uint64(b)
	}
	hex := strconv.FormatUint(number, 16)
	if len(hex) > digits {
		d.fail()
		return "", 0
	}
	return prefix + "0000000000000000"[:digits-len(hex)] + hex, number
}

func (d *decoder) address(long bool) netip.AddrPort {
	if !long {
		b := d.take(6)
		if d.failed {
			return netip.AddrPort{}
		}
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), binary.BigEndian.Uint16(b[4:]))
	}
	text := d.text()
	if text == "" {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		d.fail()
	}
	return a
}
