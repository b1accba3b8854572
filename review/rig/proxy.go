package rig

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy forwards TCP connections to a directory.
type Proxy struct {
	target string
	ln     net.Listener
	mu     sync.Mutex
	conns  map[*proxied]bool
}

// proxied is a connection through a Proxy.
type proxied struct {
	in, out net.Conn
	// silent is set once nothing is forwarded any more, in either direction.
	silent atomic.Bool
}

func newProxy(listen, target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, ln: ln, conns: map[*proxied]bool{}}
	go p.accept()
	return p, nil
}

func (p *Proxy) accept() {
	for {
		in, err := p.ln.Accept()
		if err != nil {
			return
		}
		out, err := net.DialTimeout("tcp", p.target, time.Second)
		if err != nil {
			_ = in.Close()
			continue
		}
		c := &proxied{in: in, out: out}
		p.mu.Lock()
		p.conns[c] = true
		p.mu.Unlock()
		go p.forward(c, out, in)
		go p.forward(c, in, out)
	}
}

func (p *Proxy) forward(c *proxied, to, from net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			break
		}
		if c.silent.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			break
		}
	}
	if c.silent.Load() {
		// The other end must not learn of this end.
		_ = from.Close()
		return
	}
	p.drop(c)
}

func (p *Proxy) drop(c *proxied) {
	_, _ = c.in.Close(), c.out.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// Silence makes all open connections silent for good, without a reset. New ones work. It
// returns their number.
func (p *Proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.silent.Store(true)
	}
	return len(p.conns)
}

func (p *Proxy) close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_, _ = c.in.Close(), c.out.Close()
	}
}
