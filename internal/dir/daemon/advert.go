package daemon

import (
	"net"
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/dir/core"
	"monsooncleat.example/monsooncleat/internal/wire/frame"
)

// sendAdverts sends the adverts of a step. They are datagrams, because most entry hosts
// are not listening yet. A lost one is repeated.
func (d *Daemon) sendAdverts(out *core.Output) {
	if len(out.AdvertTo) == 0 {
		return
	}
	if d.advertSocket == nil {
		socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: d.settings.Bind.Addr().AsSlice()})
		if err != nil {
			d.log.Warn("Cannot open a socket for adverts.", "err", err)
			return
		}
		d.advertSocket = socket
	}
	datagram := frame.NewEncoder(Key).Append(nil, out.Advert)
	failed := 0
	for _, to := range out.AdvertTo {
		address, err := netip.ParseAddrPort(to)
		if err == nil {
			_, err = d.advertSocket.WriteToUDPAddrPort(datagram, address)
		}
		if err != nil {
			failed++
		}
	}
	d.log.Info("Adverts sent to entry hosts.", "hosts", len(out.AdvertTo), "failed", failed)
}

// DecodeAdvert returns the body of a datagram that sendAdverts has sent.
func DecodeAdvert(datagram []byte) ([]byte, error) {
	body, _, err := frame.NewDecoder(Key).Next(datagram)
	return body, err
}
