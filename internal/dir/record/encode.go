package record

import (
	"encoding/binary"
	"net/netip"
	"strconv"
	"strings"

	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// Append appends the block of some servers to dst.
func Append(dst []byte, servers []msgs.ServerStatus) []byte {
	e := encoder{numbers: map[string]uint64{}}
	for i := range servers {
		e.add(&servers[i])
		e.addAliases(i, servers[i].Aliases)
	}
	if len(e.aliases) > 0 {
		e.names = append(e.names, string(append([]byte{aliasKind}, e.aliases...)))
	}
	if e.warmups {
		dst = append(dst, warmVersion)
	} else {
		dst = append(dst, version)
	}
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
	// warmups is set once a server with a warm-up was added.
	warmups bool
	// aliases is the extension with them, without its kind.
	aliases []byte
}

func (e *encoder) addAliases(record int, aliases []fleet.Alias) {
	if len(aliases) == 0 {
		return
	}
	b := binary.AppendUvarint(e.aliases, uint64(record))
	b = binary.AppendUvarint(b, uint64(len(aliases)))
	for _, a := range aliases {
		b = binary.AppendVarint(b, int64(a.Started))
		b = binary.AppendUvarint(b, uint64(max(a.Age, 0)))
	}
	e.aliases = b
}

func (e *encoder) add(s *msgs.ServerStatus) {
	r := &s.Record
	prefix, digits := splitID(r.ID, r.Number)
	b := append(e.records, byte(r.State)&stateMask|flagIf(s.Silent, silentFlag)|flagIf(s.Ended, endedFlag)|
		flagIf(r.Started != 0, startedFlag)|flagIf(digits > 0, derivedFlag)|flagIf(!r.Address.Addr().Is4(), longFlag)|
		flagIf(r.Warmup > 0, warmupFlag))
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
	if r.Warmup > 0 {
		e.warmups = true
		b = binary.AppendUvarint(b, uint64(r.Warmup))
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
