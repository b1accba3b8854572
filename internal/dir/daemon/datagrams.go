package daemon

import (
	"net"
	"net/netip"
	"sync"

	"monsooncleat.example/monsooncleat/internal/dir/core"
	"monsooncleat.example/monsooncleat/internal/wire/frame"
)

// datagrams sends messages to entry hosts, which accept no connections from control hosts.
// It may be used by several goroutines.
type datagrams struct {
	bind netip.Addr
	// mu guards socket, which is opened for the first datagram.
	mu     sync.Mutex
	socket *net.UDPConn
}

// open returns the socket.
func (d *datagrams) open() (*net.UDPConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.socket != nil {
		return d.socket, nil
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: d.bind.AsSlice()})
	d.socket = socket
	return socket, err
}

func (d *datagrams) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.socket != nil {
		_ = d.socket.Close()
	}
}

// send sends each message to its address. It returns the number of those that could not be
// sent, and the error of the last one.
func (d *datagrams) send(messages []core.OutMessage) (failed int, err error) {
	socket, err := d.open()
	if err != nil {
		return len(messages), err
	}
	for _, m := range messages {
		to, sendErr := netip.ParseAddrPort(m.Address)
		if sendErr == nil {
			_, sendErr = socket.WriteToUDPAddrPort(frame.NewEncoder(Key).Append(nil, m.Body), to)
		}
		if sendErr != nil {
			failed, err = failed+1, sendErr
		}
	}
	return failed, err
}

// sendAdverts sends the adverts of a step. They are datagrams, because most entry hosts
// are not listening yet. A lost one is repeated.
func (d *Daemon) sendAdverts(out *core.Output) {
	if len(out.AdvertTo) == 0 {
		return
	}
	adverts := make([]core.OutMessage, 0, len(out.AdvertTo))
	for _, to := range out.AdvertTo {
		adverts = append(adverts, core.OutMessage{Address: to, Body: out.Advert})
	}
	failed, err := d.datagrams.send(adverts)
	if err != nil {
		d.log.Warn("Cannot send some adverts.", "err", err)
	}
	d.log.Info("Adverts sent to entry hosts.", "hosts", len(adverts), "failed", failed)
}

// sendToWitnesses sends messages of the log to witnesses. A lost one is repeated.
func (d *Daemon) sendToWitnesses(messages []core.OutMessage) {
	if len(messages) == 0 {
		return
	}
	d.witnessMessages.Add(int64(len(messages)))
	if failed, err := d.datagrams.send(messages); err != nil {
		d.log.Warn("Cannot send to some witnesses.", "messages", len(messages), "failed", failed, "err", err)
	}
}

// DecodeDatagram returns the body of a datagram from a control host.
func DecodeDatagram(datagram []byte) ([]byte, error) {
	body, _, err := frame.NewDecoder(Key).Next(datagram)
	return body, err
}
