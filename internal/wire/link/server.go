// Package link carries frames between processes over TCP: a gnet server that
// receives, and a set of dialed connections that send.
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

// maxConns is the most connections that a Server holds open.
const maxConns = 4096

// Replier answers on the connection that a frame came from. Reply does not
// block; an answer that cannot be sent is dropped.
type Replier interface {
	Reply(body []byte)
}

// Handler takes one received body, which it may keep. It must not block.
type Handler func(from Replier, body []byte)

// Server accepts connections and hands on the frames they bring.
type Server struct {
	gnet.BuiltinEventEngine
	addr    string
	key     frame.Key
	handler Handler
	log     *logs.Logger
	engine  gnet.Engine
	booted  chan struct{}
	conns   atomic.Int64
	in      atomic.Uint64
	out     atomic.Uint64
}

// NewServer returns a Server for the TCP address addr.
func NewServer(addr string, key frame.Key, handler Handler, log *logs.Logger) *Server {
	return &Server{addr: addr, key: key, handler: handler, log: log, booted: make(chan struct{})}
}

// Run serves until ctx is done.
func (s *Server) Run(ctx context.Context) error {
	s.booted = make(chan struct{})
	return RunEngine(ctx, s, "tcp://"+s.addr, s.booted, func() gnet.Engine { return s.engine })
}

// RunEngine runs a gnet event handler until ctx is done. The handler closes
// booted from OnBoot, after which engine returns its engine.
func RunEngine(ctx context.Context, h gnet.EventHandler, addr string, booted <-chan struct{}, engine func() gnet.Engine, more ...gnet.Option) error {
	done := make(chan error, 1)
	options := append([]gnet.Option{gnet.WithReuseAddr(true), gnet.WithSocketRecvBuffer(receiveBuffer), gnet.WithLogger(quiet{})}, more...)
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

// BytesIn returns the bytes received so far.
func (s *Server) BytesIn() uint64 { return s.in.Load() }

// BytesOut returns the bytes sent as replies so far.
func (s *Server) BytesOut() uint64 { return s.out.Load() }

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
		s.log.Warn("Too many connections.", "remote", c.RemoteAddr())
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
		body, used, err := p.decoder.Next(b)
		if errors.Is(err, frame.ErrShort) {
			return gnet.None
		}
		if err != nil {
			s.log.Warn("Connection refused.", "remote", c.RemoteAddr(), "err", err)
			return gnet.Close
		}
		s.in.Add(uint64(used))
		s.handler(p, append([]byte(nil), body...))
		if _, err := c.Discard(used); err != nil {
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
	p.server.out.Add(uint64(len(b)))
	_ = p.conn.AsyncWrite(b, nil)
}

// quiet drops gnet's own log lines: each failure reaches the caller as an error.
type quiet struct{}

func (quiet) Debugf(string, ...any) {}
func (quiet) Infof(string, ...any)  {}
func (quiet) Warnf(string, ...any)  {}
func (quiet) Errorf(string, ...any) {}
func (quiet) Fatalf(string, ...any) {}
