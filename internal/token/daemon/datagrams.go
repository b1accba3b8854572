package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/conf/site"
	"monsooncleat.example/monsooncleat/internal/conf/tune"
	directory "monsooncleat.example/monsooncleat/internal/dir/daemon"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/wire/link"
)

// datagramAddress returns the address where the host receives datagrams of control hosts,
// or "".
func datagramAddress(s *site.Settings) string {
	if !s.Peer.IsValid() {
		return ""
	}
	return s.Peer.String()
}

// newWitnessID returns the ID of this run of the process as a witness of the log: the
// address for datagrams and the start of the process, see msgs.Witness.
func newWitnessID(s *site.Settings) raft.ID {
	return raft.ID(fmt.Sprintf("%s/%012x-%08x", datagramAddress(s), int64(clock.UnixMillis()), rand.Uint32()))
}

// witnessID returns the ID of the witness, or "" while it receives nothing or is switched
// off.
func (d *Daemon) witnessID() raft.ID {
	if !d.witnessing.Load() || d.settings.Off.Has(tune.Witness) {
		return ""
	}
	return d.witness.ID()
}

// receiveDatagrams receives the adverts of control hosts that have started, and their
// requests to the witness. Without adverts the host finds control hosts by its seeds, and
// other entry hosts are witnesses, so a failure only ends this task.
func (d *Daemon) receiveDatagrams(ctx context.Context) error {
	d.witnessing.Store(true)
	err := link.NewDatagramServer(d.settings.Peer.String(), func(datagram *link.Datagram) {
		defer datagram.Free()
		if !d.handleDatagram(datagram.Data) {
			d.log.Warn("Received an invalid datagram.", "from", datagram.From)
		}
	}).Run(ctx)
	d.witnessing.Store(false)
	if err != nil {
		d.log.Warn("Cannot receive adverts of control hosts.", "address", d.settings.Peer, "err", err)
	}
	return nil
}

// handleDatagram handles a datagram of a control host, and reports whether it was valid.
func (d *Daemon) handleDatagram(datagram []byte) bool {
	body, err := directory.DecodeDatagram(datagram)
	if err != nil {
		return false
	}
	m, err := msgs.Decode(body)
	switch {
	case err != nil:
		return false
	case m.Raft != nil:
		d.askWitness(m.Raft)
		return true
	case m.Advert != nil:
		_, err := netip.ParseAddrPort(m.Advert.Address)
		if err == nil {
			d.adverts.Offer(m.Advert.Address)
		}
		return err == nil
	default:
		return false
	}
}

// askWitness passes a request to the witness and sends its reply.
func (d *Daemon) askWitness(m *raft.Message) {
	reply, ok := d.witness.Step(d.clock.Now(), m)
	if !ok {
		return
	}
	d.witnessReplies.Add(1)
	if reply.Kind == raft.KindVoteReply && reply.Granted {
		d.log.Info("Witness voted.", "candidate", reply.To, "term", reply.Term, "supporters", m.Supporters)
	}
	address, _ := reply.To.Split()
	d.peers.Send(address, msgs.Encode(&msgs.Envelope{Raft: &reply}))
}
