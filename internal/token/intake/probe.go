package intake

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

const (
	// probeInterval is the least time between two probes, and the time for which the source
	// must not have been empty before one is sent.
	probeInterval = 20 * clock.Millis(1)
	// A probe consists of a random key, which tells it from datagrams of others, and the time
	// at which it was sent.
	probeKeySize = 8
	probeSize    = probeKeySize + 8
)

// Prober sends a datagram to the source that a Queue reads. What is read after it has
// arrived after it was sent, so the waits of datagrams are known while the source is never
// empty. A probe may be lost.
type Prober func(datagram []byte)

// probes sends and recognizes the probes of a Queue.
type probes struct {
	send   Prober
	key    [probeKeySize]byte
	sentAt clock.Millis
}

func newProbes(send Prober) probes {
	p := probes{send: send}
	binary.BigEndian.PutUint64(p.key[:], rand.Uint64())
	return p
}

// sendIfDue sends a probe if what is read is only known to have arrived after a time that is
// long ago, and reports whether it did.
func (p *probes) sendIfDue(now, arrivedAfter clock.Millis) bool {
	if p.send == nil || now-max(arrivedAfter, p.sentAt) < probeInterval {
		return false
	}
	p.sentAt = now
	datagram := append(make([]byte, 0, probeSize), p.key[:]...)
	p.send(binary.BigEndian.AppendUint64(datagram, uint64(now)))
	return true
}

// decode returns the time at which a probe was sent, or false for another datagram.
func (p *probes) decode(datagram []byte) (sentAt clock.Millis, ok bool) {
	if p.send == nil || len(datagram) != probeSize || !bytes.Equal(datagram[:probeKeySize], p.key[:]) {
		return 0, false
	}
	return clock.Millis(binary.BigEndian.Uint64(datagram[probeKeySize:])), true
}
