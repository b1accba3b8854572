// Package tunnel is the Geneve endpoint of the stand-ins. It takes the place of
// the fabric and of a server's kernel, on loopback addresses only.
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
	maxDatagram   = 64 << 10
	receiveBuffer = 4 << 20
)

// Endpoint sends and receives Geneve datagrams.
type Endpoint struct {
	conn *net.UDPConn
}

// Open binds an endpoint to a loopback address.
func Open(addr string) (*Endpoint, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("address %q: %w", addr, err)
	}
	if !ap.Addr().IsLoopback() {
		return nil, ErrNotLoopback
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(receiveBuffer)
	return &Endpoint{conn: conn}, nil
}

// Send sends packet to another endpoint. A lost packet is the fabric's right,
// so errors are dropped.
func (e *Endpoint) Send(to netip.AddrPort, packet []byte) {
	if !to.Addr().IsLoopback() {
		return
	}
	_, _ = e.conn.WriteToUDPAddrPort(geneve.Append(nil, packet, nil), to)
}

// SendPlain sends a datagram without a tunnel header.
func (e *Endpoint) SendPlain(to netip.AddrPort, data []byte) {
	if to.Addr().IsLoopback() {
		_, _ = e.conn.WriteToUDPAddrPort(data, to)
	}
}

// Serve hands each packet to handle until the endpoint is closed. ICMP errors
// go to handle as packets without a key.
func (e *Endpoint) Serve(handle func(p *inner.Packet)) {
	buf := make([]byte, maxDatagram)
	var dec geneve.Decoder
	var parser inner.Parser
	var d geneve.Datagram
	for {
		n, _, err := e.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if dec.Decode(buf[:n], &d) != nil {
			continue
		}
		var p inner.Packet
		if err := parser.Parse(d.Inner, &p); err != nil {
			continue
		}
		p.Payload = append([]byte(nil), p.Payload...)
		handle(&p)
	}
}

// Close ends Serve.
func (e *Endpoint) Close() { _ = e.conn.Close() }
