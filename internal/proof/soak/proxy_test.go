package soak_test

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy forwards TCP connections to a control host and injects faults into them.
type proxy struct {
	target string
	ln     net.Listener
	// dropIn and dropOut drop the data sent to the control host and by it.
	dropIn, dropOut atomic.Bool
	// refuse closes new connections at once.
	refuse atomic.Bool
	// delay is added to each forwarded block of data, in nanoseconds.
	delay atomic.Int64
	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(listen, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, ln: ln, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		in, err := p.ln.Accept()
		if err != nil {
			return
		}
		if p.refuse.Load() {
			_ = in.Close()
			continue
		}
		out, err := net.DialTimeout("tcp", p.target, time.Second)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = true, true
		p.mu.Unlock()
		go p.forward(out, in, &p.dropIn)
		go p.forward(in, out, &p.dropOut)
	}
}

// forward copies data in one direction until either connection ends, then closes
// both.
func (p *proxy) forward(to, from net.Conn, drop *atomic.Bool) {
	defer p.closeConns(to, from)
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		time.Sleep(time.Duration(p.delay.Load()))
		if drop.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}

// reset closes all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

// clearFaults ends all injected faults. Connections that were reset stay closed.
func (p *proxy) clearFaults() {
	p.dropIn.Store(false)
	p.dropOut.Store(false)
	p.refuse.Store(false)
	p.delay.Store(0)
}
