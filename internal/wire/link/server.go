// Package link exchanges frames between processes over TCP, with a gnet server
// that receives them and dialed connections that send them. It also receives
// UDP datagrams.
package link

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/panjf2000/gnet/v2"

	"monsooncleat.example/monsooncleat/internal/base/logs"
	"monsooncleat.example/monsooncleat/internal/wire/frame"
)

// maxConns is the maximum number of open connections of a Server.
const maxConns = 4096

// Replier sends replies on the connection that a frame came from. Reply does not
// block; a reply that cannot be sent is dropped.
type Replier interface {
	Reply(body []byte)
}

// Handler processes the body of one received frame. It may keep body and must not
// block.
type Handler func(from Replier, body []byte)

// Server accepts connections and passes the frames received on them to a Handler.
type Server struct {
	gnet.BuiltinEventEngine
	addr     string
	key      frame.Key
	handler  Handler
	log      *logs.Logger
	engine   gnet.Engine
	booted   chan struct{}
	conns    atomic.Int64
	bytesIn  atomic.Uint64
	bytesOut atomic.Uint64
}

// NewServer returns a Server that will listen on the TCP address addr.
func NewServer(addr string, key frame.Key, handler Handler, log *logs.Logger) *Server {
	return &Server{addr: addr, key: key, handler: handler, log: log, booted: make(chan struct{})}
}

// Run serves until ctx is done.
func (s *Server) Run(ctx context.Context) error {
	// OnBoot closes booted, so each run needs a new channel.
	s.booted = make(chan struct{})
	return RunEngine(ctx, s, "tcp://"+s.addr, s.booted, func() gnet.Engine { return s.engine })
}

// RunEngine listens on addr, which has a scheme ("tcp://" or "udp://"), and runs
// the gnet event handler h until ctx is done. h.OnBoot must close booted. RunEngine
// calls engine only after that; it must return the engine that OnBoot received. The
// options in extra are added to the defaults.
func RunEngine(ctx context.Context, h gnet.EventHandler, addr string, booted <-chan struct{}, engine func() gnet.Engine, extra ...gnet.Option) error {
	done := make(chan error, 1)
	options := append([]gnet.Option{gnet.WithReuseAddr(true), gnet.WithSocketRecvBuffer(receiveBufferSize), gnet.WithLogger(discardLogger{})}, extra...)
	go func() {
		done <- gnet.Run(h, addr, options...)
	}()
	select {
	case err := <-done:
		return fmt.Errorf("listen on %s: %w", addr, err)
	case <-booted:
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	if err := engine().Stop(context.Background()); err != nil {
		return err
	}
	return <-done
}

// BytesIn returns the number of bytes received, with frame headers.
func (s *Server) BytesIn() uint64 { return s.bytesIn.Load() }

// BytesOut returns the number of bytes sent as replies, with frame headers.
func (s *Server) BytesOut() uint64 { return s.bytesOut.Load() }

// OnBoot implements gnet.EventHandler.
func (s *Server) OnBoot(engine gnet.Engine) gnet.Action {
	s.engine = engine
	close(s.booted)
	return gnet.None
}

// OnOpen implements gnet.EventHandler.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	c.SetContext(&peerConn{
		conn: c, server: s,
		decoder: frame.NewDecoder(s.key), encoder: frame.NewEncoder(s.key),
	})
	if s.conns.Add(1) > maxConns {
		s.log.Warn("Connection closed: too many open connections.", "remote", c.RemoteAddr())
		return nil, gnet.Close
	}
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(gnet.Conn, error) gnet.Action {
	s.conns.Add(-1)
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	p, ok := c.Context().(*peerConn)
	if !ok {
		return gnet.Close
	}
	for {
		b, err := c.Peek(-1)
		if err != nil {
			return gnet.Close
		}
		body, size, err := p.decoder.Next(b)
		if errors.Is(err, frame.ErrShort) {
			return gnet.None
		}
		if err != nil {
			// The frame is too large, or its MAC does not match, such as with a
			// different key.
			s.log.Warn("Connection refused.", "remote", c.RemoteAddr(), "err", err)
			return gnet.Close
		}
		s.bytesIn.Add(uint64(size))
		s.handler(p, append([]byte(nil), body...))
		if _, err := c.Discard(size); err != nil {
			return gnet.Close
		}
	}
}

// peerConn is one accepted connection.
type peerConn struct {
	conn    gnet.Conn
	server  *Server
	decoder *frame.Decoder
	mu      sync.Mutex
	encoder *frame.Encoder
}

// Reply implements Replier.
func (p *peerConn) Reply(body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.encoder.Append(nil, body)
	p.server.bytesOut.Add(uint64(len(b)))
	_ = p.conn.AsyncWrite(b, nil)
}

// discardLogger drops gnet's own log lines: gnet also returns each failure as an
// error.
type discardLogger struct{}

func (discardLogger) Debugf(string, ...any) {}
func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(string, ...any) {}
