package soak_test

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy carries TCP connections to one control host and harms them on demand.
type proxy struct {
	target string
	ln     net.Listener
	// silentIn and silentOut drop what is sent one way; delay holds it.
	silentIn, silentOut atomic.Bool
	refuse              atomic.Bool
	delay               atomic.Int64
	mu                  sync.Mutex
	conns               map[net.Conn]bool
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
		go p.pump(out, in, &p.silentIn)
		go p.pump(in, out, &p.silentOut)
	}
}

func (p *proxy) pump(to, from net.Conn, silent *atomic.Bool) {
	defer p.end(to, from)
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		time.Sleep(time.Duration(p.delay.Load()))
		if silent.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) end(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}

// reset closes all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *proxy) heal() {
	p.silentIn.Store(false)
	p.silentOut.Store(false)
	p.refuse.Store(false)
	p.delay.Store(0)
}
