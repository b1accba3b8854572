package simnet

import "monsooncleat.example/monsooncleat/internal/base/clock"

const (
	// headerBytes is the length of a packet without data, as a link carries it.
	headerBytes = 68
	// maxLinkWait is the wait from which packets are lost in front of a link.
	maxLinkWait = clock.Second
)

// direction is one direction of the link of an entry host.
type direction struct {
	// freeAt is when all packets are sent that wait, in milliseconds.
	freeAt float64
}

// throughLink calls event once a packet with a number of bytes of data has passed the
// link, and never if it is lost in front of it.
func (sim *simulation) throughLink(d *direction, bytes int, event func()) {
	rate := sim.scenario.LinkRate
	if rate == 0 {
		event()
		return
	}
	if d.freeAt > float64(sim.now+maxLinkWait) {
		sim.result.LostInFront++
		return
	}
	d.freeAt = max(d.freeAt, float64(sim.now)) + float64(8*(headerBytes+bytes)*1000)/rate
	sim.after(clock.Millis(d.freeAt)-sim.now, event)
}
