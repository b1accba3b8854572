package link

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/panjf2000/gnet/v2"
)

// receiveBufferSize is the receive buffer size (SO_RCVBUF) in bytes of every
// socket that RunEngine opens, for TCP and UDP.
const receiveBufferSize = 4 << 20

// Datagram is a received datagram. Its buffer comes from a pool.
type Datagram struct {
	From netip.AddrPort
	Data []byte
	pool *sync.Pool
}

// Free returns the datagram's buffer to the pool. Data must not be used
// afterwards.
func (d *Datagram) Free() {
	d.Data = d.Data[:0]
	d.pool.Put(d)
}

// DatagramServer receives datagrams on one UDP address.
type DatagramServer struct {
	gnet.BuiltinEventEngine
	addr    string
	handler func(*Datagram)
	engine  gnet.Engine
	booted  chan struct{}
	pool    sync.Pool
}

// NewDatagramServer returns a DatagramServer for the UDP address addr. It
// calls handler with each datagram. handler must not block, and each datagram must
// be freed with Free after use.
func NewDatagramServer(addr string, handler func(*Datagram)) *DatagramServer {
	s := &DatagramServer{addr: addr, handler: handler, booted: make(chan struct{})}
	s.pool.New = func() any { return &Datagram{pool: &s.pool} }
	return s
}

// Run receives datagrams until ctx is done.
func (s *DatagramServer) Run(ctx context.Context) error {
	// OnBoot closes booted, so each run needs a new channel.
	s.booted = make(chan struct{})
	return RunEngine(ctx, s, "udp://"+s.addr, s.booted, func() gnet.Engine { return s.engine })
}

// OnBoot implements gnet.EventHandler.
func (s *DatagramServer) OnBoot(engine gnet.Engine) gnet.Action {
	s.engine = engine
	close(s.booted)
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (s *DatagramServer) OnTraffic(c gnet.Conn) gnet.Action {
	b, err := c.Next(-1)
	if err != nil {
		return gnet.None
	}
	from, ok := c.RemoteAddr().(*net.UDPAddr)
	if !ok {
		return gnet.None
	}
	d, ok := s.pool.Get().(*Datagram)
	if !ok {
		return gnet.None
	}
	addrPort := from.AddrPort()
	d.From = netip.AddrPortFrom(addrPort.Addr().Unmap(), addrPort.Port())
	d.Data = append(d.Data[:0], b...)
	s.handler(d)
	return gnet.None
}
