// Package admin serves the metrics, the state dump and the readiness of a process
// over HTTP.
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
	readHeaderTimeout = 5 * time.Second
	dumpTimeout       = 5 * time.Second
	maxDumpSize       = 64 << 20 // bytes
)

// Metrics holds the counters and gauges of one daemon. It does not use the global
// registry of expvar, so that one program can embed several daemons.
type Metrics struct {
	vars expvar.Map
}

// NewMetrics returns an empty Metrics.
func NewMetrics() *Metrics {
	m := &Metrics{}
	m.vars.Init()
	return m
}

// Gauge publishes the value of f under name. It calls f on each read.
func (m *Metrics) Gauge(name string, f func() int64) {
	m.vars.Set(name, expvar.Func(func() any { return f() }))
}

// Counter creates a counter, publishes it under name and returns it.
func (m *Metrics) Counter(name string) *expvar.Int {
	v := new(expvar.Int)
	m.vars.Set(name, v)
	return v
}

// Map creates a map of counters by label, publishes it under name and returns it.
func (m *Metrics) Map(name string) *expvar.Map {
	v := new(expvar.Map).Init()
	m.vars.Set(name, v)
	return v
}

// Values returns the current values of all metrics as a JSON object keyed by
// metric name.
func (m *Metrics) Values() json.RawMessage { return json.RawMessage(m.vars.String()) }

// Dumper returns the state of a process as a value that can be encoded as JSON. It
// returns an error when ctx ends before the process answers.
type Dumper func(ctx context.Context) (any, error)

// ErrQueueFull is returned when the event queue of the goroutine that owns the
// state is full.
var ErrQueueFull = errors.New("event queue is full")

// Query queries the goroutine that owns the state of a process. It passes a
// reply channel to enqueue, which reports whether the query was queued, and
// waits for the reply.
func Query(ctx context.Context, enqueue func(reply chan<- any) bool) (any, error) {
	reply := make(chan any, 1)
	if !enqueue(reply) {
		return nil, ErrQueueFull
	}
	select {
	case v := <-reply:
		return v, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Server is the admin HTTP server of a process.
type Server struct {
	addr string
	mux  *http.ServeMux
	http http.Server
}

// New returns a Server for the TCP address addr. GET /ready has status 200 while
// ready returns true, and 503 otherwise.
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
	return &Server{addr: addr, mux: mux, http: http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}}
}

func serveDump(w http.ResponseWriter, r *http.Request, dump Dumper) {
	ctx, cancel := context.WithTimeout(r.Context(), dumpTimeout)
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

// Handle adds a handler for a pattern of http.ServeMux. Call it before Run.
func (s *Server) Handle(pattern string, handler http.HandlerFunc) { s.mux.HandleFunc(pattern, handler) }

// Run serves until ctx is done.
func (s *Server) Run(ctx context.Context) error {
	return ServeHTTP(ctx, s.addr, &s.http)
}

// ServeHTTP listens on the TCP address addr and runs server until ctx is done.
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

// FetchDump returns the JSON state dump of the process whose admin server is at
// addr.
func FetchDump(ctx context.Context, addr string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
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
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxDumpSize))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("state dump of %s: %s: %s", addr, resp.Status, b)
	}
	return b, nil
}
