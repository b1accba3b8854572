package daemon

import (
	"context"
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/conf/site"
	directory "monsooncleat.example/monsooncleat/internal/dir/daemon"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/wire/link"
)

// advertAddress returns the address where the host receives adverts, or "".
func advertAddress(s *site.Settings) string {
	if !s.Peer.IsValid() {
		return ""
	}
	return s.Peer.String()
}

// receiveAdverts receives the adverts of control hosts that have started. Without them
// the host finds control hosts by its seeds, so a failure only ends this task.
func (d *Daemon) receiveAdverts(ctx context.Context) error {
	err := link.NewDatagramServer(d.settings.Peer.String(), func(datagram *link.Datagram) {
		defer datagram.Free()
		if address, ok := decodeAdvert(datagram.Data); ok {
			d.adverts.Offer(address)
			return
		}
		d.log.Warn("Received an invalid advert.", "from", datagram.From)
	}).Run(ctx)
	if err != nil {
		d.log.Warn("Cannot receive adverts of control hosts.", "address", d.settings.Peer, "err", err)
	}
	return nil
}

// decodeAdvert returns the address of the control host in a datagram.
func decodeAdvert(datagram []byte) (address string, ok bool) {
	body, err := directory.DecodeAdvert(datagram)
	if err != nil {
		return "", false
	}
	m, err := msgs.Decode(body)
	if err != nil || m.Advert == nil {
		return "", false
	}
	if _, err := netip.ParseAddrPort(m.Advert.Address); err != nil {
		return "", false
	}
	return m.Advert.Address, true
}
