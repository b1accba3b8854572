package core

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
)

// departSaveInterval is the least time between two writes of the server list because
// servers drain or have left. Many do at once when a service is released.
const departSaveInterval = 20 * clock.Millis(1)

// departures holds back what acknowledges that servers drain or have left, until the
// server list with that is written. Without it, a host that loses power right after
// an acknowledgement would offer them again.
type departures struct {
	// unsaved is set if the list holds a departure that is not in the latest write.
	unsaved bool
	savedAt clock.Millis
	// savedPosition is the position of the latest change in the latest write, or 0 if that
	// write failed.
	savedPosition uint64
	replies       []OutMessage
	answers       []Answer
}

// departed notes that a server drains or has left. It must be written unless the latest
// write has it: servers repeat what isn't acknowledged yet, and on a slow disk a write for each
// repetition would delay the acknowledgement of all of them.
func (c *Core) departed(id string) {
	if s := c.list.Fleet().Find(id); s != nil && s.LastChange() > c.departures.savedPosition {
		c.departures.unsaved = true
	}
}

// ListsLost reports that lists which this host had to save for its next start were not saved.
// Departures in them are written when they are announced again.
func (c *Core) ListsLost() { c.departures.savedPosition = 0 }

// saveServers writes an encoded server list, which holds all changes so far.
func (c *Core) saveServers(encoded []byte) {
	c.out.Lists.Servers = encoded
	c.departures.savedPosition = c.list.Fleet().LastChange()
}

// replyWhenSaved sends a message once the departures so far are written, or at once if
// the disk has failed: the other hosts have it then.
func (c *Core) replyWhenSaved(address string, e *msgs.Envelope) {
	if c.diskFailed {
		c.sendNow(address, e)
		return
	}
	c.departures.replies = append(c.departures.replies, OutMessage{address, msgs.Encode(e)})
}

// answerWhenSaved does the same for the answer to a call.
func (c *Core) answerWhenSaved(callID CallID) {
	if c.diskFailed {
		c.answer(callID, Done, nil)
		return
	}
	c.departures.answers = append(c.departures.answers, Answer{CallID: callID, Code: Done})
}

// saveDepartures writes the server list if it holds new departures and the last write
// was not just now, and releases what waits for that.
func (c *Core) saveDepartures() {
	d := &c.departures
	if !d.unsaved && len(d.replies) == 0 && len(d.answers) == 0 || d.unsaved && c.now-d.savedAt < departSaveInterval {
		return
	}
	if d.unsaved {
		d.unsaved, d.savedAt = false, c.now
		c.saveServers(c.list.Encode(c.now))
	}
	c.out.Lists.SendAfterSave = append(c.out.Lists.SendAfterSave, d.replies...)
	c.out.Lists.AnswersAfterSave = append(c.out.Lists.AnswersAfterSave, d.answers...)
	d.replies, d.answers = nil, nil
}
