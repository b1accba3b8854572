package record

import (
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"
	"strconv"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// Decode returns the servers of a block. Elapsed is the time since it was encoded,
// which adds to their ages.
func Decode(b []byte, elapsed clock.Millis) ([]msgs.ServerStatus, error) {
	if len(b) == 0 || b[0] != version && b[0] != warmVersion {
		return nil, ErrVersion
	}
	d := decoder{rest: b[1:], warmups: b[0] == warmVersion}
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
	for _, extension := range d.names[d.referred:] {
		if extension == "" || extension[0] != aliasKind {
			continue
		}
		if !addAliases(servers, []byte(extension[1:]), elapsed) {
			return nil, fmt.Errorf("%w: aliases", ErrMalformed)
		}
	}
	return servers, nil
}

// addAliases adds the aliases in an extension to servers, and reports whether it is well
// formed.
func addAliases(servers []msgs.ServerStatus, extension []byte, elapsed clock.Millis) bool {
	d := decoder{rest: extension}
	for len(d.rest) > 0 {
		record := d.uvarint()
		for range d.count() {
			started, age := d.varint(), d.uvarint()
			if d.failed || record >= uint64(len(servers)) {
				return false
			}
			s := &servers[record]
			s.Aliases = append(s.Aliases, fleet.Alias{Started: clock.Millis(started), Age: clock.Millis(min(age, math.MaxInt32)) + elapsed})
		}
	}
	return !d.failed
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
	// referred is the number of names up to the last one that a record refers to.
	referred uint64
	// warmups is set for a block that may have warm-ups.
	warmups bool
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

func (d *decoder) varint() int64 {
	v, n := binary.Varint(d.rest)
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
	d.referred = max(d.referred, n+1)
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
		r.Started = clock.Millis(d.varint())
	}
	r.Address = d.address(f&longFlag != 0)
	if d.warmups && f&warmupFlag != 0 {
		r.Warmup = clock.Millis(min(d.uvarint(), math.MaxInt32))
	}
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
