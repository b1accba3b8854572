package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// Route is a route of a configuration.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	RouteKind  string `json:"route_kind"`
	TimeoutMS  int    `json:"timeout_ms"`
	GoalMS     int    `json:"latency_goal_ms"`
	Priority   int    `json:"priority"`
	Service    string `json:"service"`
	Attempts   int    `json:"attempts"`
}

// Service is a service of a configuration.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
	MaxConns   int    `json:"max_conns"`
	Proto      string `json:"proto"`
	TLS        bool   `json:"tls"`
}

// Config is a configuration.
type Config struct {
	Version  int            `json:"version"`
	Routes   []Route        `json:"routes"`
	Services []Service      `json:"services"`
	Limits   map[string]int `json:"limits"`
}

// RouteHost is the address of all routes.
const RouteHost = "198.18.0.1"

// NewRoute returns a route at a port of RouteHost.
func NewRoute(port int, kind, service string) Route {
	return Route{
		Name: fmt.Sprintf("r-%d", port), Host: RouteHost, PathPrefix: fmt.Sprintf("/%d/", port), RouteKind: kind,
		TimeoutMS: 3000, GoalMS: 200, Priority: 1, Service: service, Attempts: 2,
	}
}

// NewConfig returns a configuration.
func NewConfig(version int, services []string, routes ...Route) Config {
	c := Config{Version: version, Routes: routes, Limits: map[string]int{
		"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
	}}
	for _, s := range services {
		c.Services = append(c.Services, Service{Name: s, HealthPath: "/health", MaxConns: 2000, Proto: "h1"})
	}
	return c
}

// httpClient waits a second for a response, as servers and operators do.
var httpClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a request to a directory. It returns status 0 if there was no response.
func (d *Deployment) call(dir int, method, path string, body any) (status int, response []byte) {
	var reader io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return 0, nil
		}
		reader = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", d.ip(directoryGroup, dir), apiPort, path), reader)
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	response, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, response
}

// callAny calls directories in turn, with increasing backoff, until one answers with a 2xx
// status or the time is over. It returns the last status and how often it called.
func (d *Deployment) callAny(method, path string, body any, limit time.Duration) (status, calls int) {
	first, backoff := rand.IntN(d.Directories), 20*time.Millisecond
	for end := time.Now().Add(limit); ; backoff = min(2*backoff, 320*time.Millisecond) {
		status, _ = d.call((first+calls)%d.Directories, method, path, body)
		calls++
		if status/100 == 2 || time.Now().After(end) || !d.Sleep(backoff) {
			return status, calls
		}
	}
}

// Put sends a configuration until it is acknowledged or the time is over. It returns when
// it was acknowledged, or the zero time.
func (d *Deployment) Put(c Config, limit time.Duration) time.Time {
	sent := time.Now()
	status, calls := d.callAny(http.MethodPut, "/config", c, limit)
	if status/100 != 2 {
		d.Record.Printf("operator: version %d not acknowledged in %d calls, %.1f s; last status %d", c.Version, calls, time.Since(sent).Seconds(), status)
		return time.Time{}
	}
	d.Record.Printf("operator: version %d acknowledged after %d calls, %d ms", c.Version, calls, time.Since(sent).Milliseconds())
	return time.Now()
}

// Get reads the configuration at one directory. It returns version 0 if there was none.
func (d *Deployment) Get(dir int) (status, version int) {
	status, b := d.call(dir, http.MethodGet, "/config", nil)
	var c struct{ Version int }
	if status/100 == 2 && json.Unmarshal(b, &c) != nil {
		return status, 0
	}
	return status, c.Version
}

// Call sends a request to the directories in turn until one answers, and returns the
// status.
func (d *Deployment) Call(method, path string, body any) int {
	for i := range d.Directories {
		if status, _ := d.call(i, method, path, body); status != 0 {
			return status
		}
	}
	return 0
}
