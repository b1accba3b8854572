package share_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/dir/share"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// pair are two lists whose requests and replies the test carries.
type pair struct {
	here, there *share.List
	requests    []*msgs.Sync
	// numbered is unset while the other host is of the build before.
	numbered bool
}

const silentAfter = 3600 * clock.Millis(1)

func newPair() *pair {
	p := &pair{numbered: true}
	options := fleet.Options{SilentAfter: silentAfter, ForgetAfter: 90_000, ReuseAfter: 2000}
	known := func(string) bool { return true }
	p.here = share.NewList(options, 1, 0, hostGroup{0, 2}, known, func(_ raft.ID, e *msgs.Envelope) { p.requests = append(p.requests, e.Sync) })
	p.there = share.NewList(options, 2, 0, hostGroup{1, 2}, known, func(raft.ID, *msgs.Envelope) {})
	return p
}

// ask has the first list request announcements.
func (p *pair) ask(now clock.Millis) *msgs.Sync {
	p.here.RequestSync(now, func(raft.ID, *msgs.Sync) {})
	return p.requests[len(p.requests)-1]
}

// answer has the second list reply to a request at a time, and the first read that at another.
func (p *pair) answer(c *qt.C, m *msgs.Sync, at, read clock.Millis) {
	reply := p.there.ReplyToSync(at, m)
	if !p.numbered {
		reply.Number = 0
	}
	c.Assert(p.here.HandleSyncReply(read, reply), qt.IsNil)
}

// observe reports whether announcements of the other host are missing.
func (p *pair) observe(now clock.Millis, current, lost bool) bool {
	missing, _ := p.here.Observe(now, current, func(raft.ID) bool { return lost }, 2000)
	return len(missing) > 0
}

func contactRecord(id string, seq uint64, host byte) fleet.Record {
	return fleet.Record{ID: id, Number: 1, Seq: seq, Service: "s", State: fleet.Ready, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 80)}
}

// TestReplyFromBeforeAReturnIsNoContact guards against a host that takes a delayed reply for the announcements since.
func TestReplyFromBeforeAReturnIsNoContact(t *testing.T) {
	for _, numbered := range []bool{true, false} {
		c := qt.New(t)
		p := newPair()
		p.numbered = numbered
		early := p.ask(100)
		p.answer(c, early, 110, 120)
		p.answer(c, p.ask(400), 410, 420)
		c.Check(p.observe(450, true, false), qt.IsFalse)
		p.here.Apply(500, 500, contactRecord("s", 1, 1), true)
		late := p.ask(700)
		c.Check(p.observe(1300, false, false), qt.IsFalse)
		p.here.Expire(6000)
		c.Check(p.here.Fleet().Find("s").Silent(), qt.IsTrue)
		p.there.Apply(5900, 5900, contactRecord("s", 9, 1), true)
		if numbered {
			p.answer(c, late, 710, 6040)
		}
		c.Check(p.observe(6050, true, false), qt.IsTrue, qt.Commentf("numbered %t", numbered))
		c.Check(p.here.Fleet().Find("s").Silent(), qt.IsFalse)
		p.ask(6060)
		p.answer(c, p.ask(6100), 6110, 6120)
		c.Check(p.observe(6130, true, false), qt.IsFalse, qt.Commentf("numbered %t", numbered))
		c.Check(p.here.Fleet().Find("s").Silent(), qt.IsFalse)
	}
}

// TestServersGoneBeforeAReturnAreSilentAfterIt guards against servers that are offered for as long as it takes to miss them again, and against records that are passed on as those of servers that run.
func TestServersGoneBeforeAReturnAreSilentAfterIt(t *testing.T) {
	c := qt.New(t)
	p := newPair()
	p.here.Apply(100, 100, contactRecord("gone", 1, 1), true)
	p.here.Apply(100, 100, contactRecord("runs", 1, 2), true)
	p.here.Expire(6000)
	since := p.here.Fleet().Find("gone")
	c.Assert(since.Silent(), qt.IsTrue)
	c.Check(p.observe(9000, true, false), qt.IsTrue)
	c.Check(p.here.Silent(), qt.HasLen, 0)
	for _, s := range p.here.ReplyToSync(9000, &msgs.Sync{}).Servers {
		c.Check(s.Silent, qt.IsTrue)
	}
	restarted := newPair().here
	c.Assert(restarted.Load(9000, p.here.Encode(9000)), qt.IsNil)
	c.Check(restarted.Silent(), qt.HasLen, 2)
	p.there.Apply(9000, 9000, contactRecord("runs", 2, 2), true)
	p.answer(c, p.ask(9010), 9020, 9030)
	c.Check(p.observe(9050, true, false), qt.IsFalse)
	c.Check(p.here.Silent(), qt.DeepEquals, []string{"gone"})
	// It is forgotten when it would have been without the return.
	p.here.Expire(96_001)
	c.Check(p.here.Fleet().Find("gone"), qt.IsNil)
}

// TestLostControlHostHidesNoSilentServer guards against dead servers that are offered until an operator removes a control host.
func TestLostControlHostHidesNoSilentServer(t *testing.T) {
	c := qt.New(t)
	p := newPair()
	p.here.Apply(100, 100, contactRecord("s", 1, 1), true)
	c.Check(p.observe(8000, true, true), qt.IsTrue)
	p.here.Expire(8000)
	c.Check(p.here.Silent(), qt.HasLen, 0)
	// Others may have heard from the host while this one was away.
	c.Check(p.observe(9950, true, true), qt.IsTrue)
	c.Check(p.observe(10_000, true, true), qt.IsFalse)
	p.here.Expire(10_000)
	c.Check(p.here.Silent(), qt.DeepEquals, []string{"s"})
}
