// Package admin serves a process's metrics and state dump over HTTP.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	headerTimeout = 5 * time.Second
	callTimeout   = 5 * time.Second
	maxDump       = 64 << 20
)

// Metrics are the counters and gauges of one process. They are kept apart from
// expvar's global registry so that one program can embed several daemons.
type Metrics struct {
	vars expvar.Map
}

// NewMetrics returns an empty Metrics.
func NewMetrics() *Metrics {
	m := &Metrics{}
	m.vars.Init()
	return m
}

// Gauge publishes f under name. F is called on each reading.
func (m *Metrics) Gauge(name string, f func() int64) {
	m.vars.Set(name, expvar.Func(func() any { return f() }))
}

// Counter publishes and returns a counter under name.
func (m *Metrics) Counter(name string) *expvar.Int {
	v := new(expvar.Int)
	m.vars.Set(name, v)
	return v
}

// Map publishes and returns counters by label under name.
func (m *Metrics) Map(name string) *expvar.Map {
	v := new(expvar.Map).Init()
	m.vars.Set(name, v)
	return v
}

// Values returns the present values by name.
func (m *Metrics) Values() json.RawMessage { return json.RawMessage(m.vars.String()) }

// Dumper returns the state of a process as a value that encodes to JSON. It
// fails when the process does not answer in time.
type Dumper func(ctx context.Context) (any, error)

// ErrBusy is returned when the goroutine that owns the state takes no question.
var ErrBusy = errors.New("event ring is full")

// Ask hands a channel for the answer to offer, which reports whether the
// question was taken, and waits for the answer.
func Ask(ctx context.Context, offer func(answer chan<- any) bool) (any, error) {
	answer := make(chan any, 1)
	if !offer(answer) {
		return nil, ErrBusy
	}
	select {
	case v := <-answer:
		return v, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Server is the admin listener of a process.
type Server struct {
	addr string
	http http.Server
}

// New returns a Server for addr. Ready tells whether the process takes work.
func New(addr string, metrics *Metrics, dump Dumper, ready func() bool) *Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(metrics.Values())
	})
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, r *http.Request) {
		serveDump(w, r, dump)
	})
	return &Server{addr: addr, http: http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}}
}

func serveDump(w http.ResponseWriter, r *http.Request, dump Dumper) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	v, err := dump(ctx)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

// Run serves until ctx is done.
func (s *Server) Run(ctx context.Context) error {
	return ServeHTTP(ctx, s.addr, &s.http)
}

// ServeHTTP listens on addr and serves until ctx is done.
func ServeHTTP(ctx context.Context, addr string, server *http.Server) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", addr, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Fetch returns the dump of the process whose admin listener is at addr.
func Fetch(ctx context.Context, addr string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/dump", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxDump))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("dump of %s: %s: %s", addr, resp.Status, b)
	}
	return b, nil
}
