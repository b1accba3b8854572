// Package tunnel implements the Geneve endpoint of the stand-in clients and
// servers. It replaces the network fabric and the kernel of a backend server,
// and uses loopback addresses only.
package tunnel

import (
	"errors"
	"fmt"
	"net"
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/wire/geneve"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

// ErrNotLoopback is returned for an address outside the loopback range.
var ErrNotLoopback = errors.New("stand-ins use loopback addresses only")

const (
	maxDatagramBytes   = 64 << 10
	receiveBufferBytes = 4 << 20
)

// Endpoint is a UDP socket that sends and receives Geneve datagrams.
type Endpoint struct {
	conn *net.UDPConn
}

// Open binds an endpoint to a loopback address.
func Open(addr string) (*Endpoint, error) {
	addrPort, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("address %q: %w", addr, err)
	}
	if !addrPort.Addr().IsLoopback() {
		return nil, ErrNotLoopback
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addrPort))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(receiveBufferBytes)
	return &Endpoint{conn: conn}, nil
}

// Send sends an IP packet in a Geneve datagram. Packets to addresses other than
// loopback are dropped, and errors are ignored, because a network may lose
// packets.
func (e *Endpoint) Send(to netip.AddrPort, packet []byte) {
	if !to.Addr().IsLoopback() {
		return
	}
	_, _ = e.conn.WriteToUDPAddrPort(geneve.Append(nil, packet, nil), to)
}

// SendPlain sends a datagram without a tunnel header. Errors and addresses other
// than loopback are treated as in Send.
func (e *Endpoint) SendPlain(to netip.AddrPort, data []byte) {
	if to.Addr().IsLoopback() {
		_, _ = e.conn.WriteToUDPAddrPort(data, to)
	}
}

// Serve calls handle with each packet received, until the endpoint is closed or
// reading fails. It skips malformed datagrams and inner packets other than TCP and
// UDP, ICMP errors among them.
func (e *Endpoint) Serve(handle func(p *inner.Packet)) {
	buf := make([]byte, maxDatagramBytes)
	var decoder geneve.Decoder
	var parser inner.Parser
	var datagram geneve.Datagram
	for {
		n, _, err := e.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if decoder.Decode(buf[:n], &datagram) != nil {
			continue
		}
		var p inner.Packet
		if err := parser.Parse(datagram.Inner, &p); err != nil {
			continue
		}
		p.Payload = append([]byte(nil), p.Payload...)
		handle(&p)
	}
}

// Close closes the socket, which ends Serve.
func (e *Endpoint) Close() { _ = e.conn.Close() }
