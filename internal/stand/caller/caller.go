// Package caller implements a load generator that stands in for clients and for
// the network between them and the entry hosts. It sends a bounded load of
// requests and streams, sends each packet to a random entry host, as the fabric
// would spray it, and checks each answer.
package caller

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"monsooncleat.example/monsooncleat/internal/stand/tunnel"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

// Options configure the load and the faults of the network.
type Options struct {
	// Bind is the loopback address of the tunnel endpoint. All simulated
	// clients share its IP address.
	Bind string
	// Entries lists the fabric addresses of the entry hosts.
	Entries []netip.AddrPort
	// Requests is the number of requests to send.
	Requests int
	// Rate is the number of requests sent per second.
	Rate float64
	// RequestService is the service address that requests are sent to.
	RequestService netip.AddrPort
	// Idempotent is the share of requests that may run twice.
	Idempotent float64
	// Deadline is the time limit of one try, which each request carries.
	Deadline time.Duration
	// Tries limits the tries of a request that is refused as not run.
	Tries int
	// Streams is the number of TCP streams to open.
	Streams int
	// StreamService is the service address that streams are opened to.
	StreamService netip.AddrPort
	// Hold is how long the streams stay open.
	Hold time.Duration
	Seed uint64
	// Doubled is the share of packets that the network duplicates.
	Doubled float64
	// Lost is the share of packets that the network loses.
	Lost float64
}

// Report holds the results of a whole run.
type Report struct {
	// Answered to Lost count requests by their final outcome. Lost are those
	// that got no answer, not even in the grace period after the deadline.
	Answered int `json:"answered"`
	NotRun   int `json:"notRun"`
	Unknown  int `json:"unknown"`
	Lost     int `json:"lost"`
	// Crossed counts answers with a wrong body, truncated or of another
	// request.
	Crossed int `json:"crossed"`
	// Refusals counts tries that were refused as not run.
	Refusals int `json:"refusals"`
	// Resends counts repeated sends of the same try.
	Resends int `json:"resends"`
	// Streams counts the streams that were started.
	Streams int `json:"streams"`
	Broken  int `json:"brokenFlows"`
	// P50 is the median latency of answered requests in milliseconds, from the
	// first send of the first try.
	P50 float64 `json:"p50Ms"`
	// P99 is the 99th percentile of the same latency in milliseconds.
	P99 float64 `json:"p99Ms"`
	// ByServer counts answered requests by server.
	ByServer map[string]int `json:"byServer"`
	// StreamsBy counts streams by the server that they reached first.
	StreamsBy map[string]int `json:"streamsByServer"`
	// BrokenBy counts broken streams by the reason.
	BrokenBy map[string]int `json:"brokenBy,omitempty"`
	// BrokenOn counts broken streams by the server that they reached first, ""
	// for those that got no data.
	BrokenOn  map[string]int `json:"brokenOn,omitempty"`
	PerSecond []Second       `json:"perSecond"`
	// StreamsOpen counts the streams that stayed open for the whole hold time.
	StreamsOpen int `json:"streamsOpenAtEnd"`
}

// Second holds the results of one second of the run.
type Second struct {
	Answered int `json:"answered"`
	// NotRun counts refused tries, not requests.
	NotRun   int            `json:"notRun"`
	ByServer map[string]int `json:"byServer"`
	// P99 is the 99th percentile of the latency in milliseconds.
	P99 float64 `json:"p99Ms"`
}

// Result is the final outcome of one request.
type Result struct {
	ID         string
	Idempotent bool
	// Outcome is "answered", "notRun", "unknown" or "lost".
	Outcome string
	// Refused lists the tries that were refused as not run.
	Refused []uint32
}

const (
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

// Caller is a load generator.
type Caller struct {
	opts      Options
	endpoint  *tunnel.Endpoint
	clientIP  netip.Addr
	startedAt time.Time
	// mu guards the fields below.
	mu sync.Mutex
	// rand makes the random choices of all requests and streams.
	rand *rand.Rand
	// pending holds the requests without a final outcome by their ids.
	pending map[string]*pendingRequest
	// streams holds the open streams by their client address.
	streams map[netip.AddrPort]*stream
	report  Report
	results []Result
	latency *hdrhistogram.Histogram
	// latencyBySecond holds the latency histogram of each second of the run.
	latencyBySecond []*hdrhistogram.Histogram
}

// New opens the tunnel endpoint. The hold time of streams and the seconds of the
// report count from here.
func New(opts Options) (*Caller, error) {
	bind, err := netip.ParseAddrPort(opts.Bind)
	if err != nil {
		return nil, fmt.Errorf("bind: %w", err)
	}
	endpoint, err := tunnel.Open(opts.Bind)
	if err != nil {
		return nil, err
	}
	return &Caller{
		opts: opts, endpoint: endpoint, clientIP: bind.Addr(), startedAt: time.Now(),
		rand: rand.New(rand.NewPCG(opts.Seed, 2)), pending: map[string]*pendingRequest{}, streams: map[netip.AddrPort]*stream{},
		report:  Report{ByServer: map[string]int{}, StreamsBy: map[string]int{}, BrokenBy: map[string]int{}, BrokenOn: map[string]int{}},
		latency: newHistogram(),
	}, nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantDigits)
}

// Run sends the whole load and returns the results. It always ends, because
// each try and each exchange on a stream has a time limit.
func (c *Caller) Run() (*Report, []Result) {
	go c.endpoint.Serve(c.handlePacket)
	defer c.endpoint.Close()
	var wg sync.WaitGroup
	for i := range c.opts.Streams {
		wg.Go(func() { c.runStream(i) })
	}
	c.sendRequests(&wg)
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.P50 = float64(c.latency.ValueAtQuantile(50)) / 1000
	c.report.P99 = float64(c.latency.ValueAtQuantile(99)) / 1000
	for i, h := range c.latencyBySecond {
		c.report.PerSecond[i].P99 = float64(h.ValueAtQuantile(99)) / 1000
	}
	return &c.report, c.results
}

// sendRequests starts the requests at the configured rate, evenly spaced.
func (c *Caller) sendRequests(wg *sync.WaitGroup) {
	begin := time.Now()
	for i := range c.opts.Requests {
		due := begin.Add(time.Duration(float64(i) / c.opts.Rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		wg.Go(func() { c.runRequest(i) })
	}
}

// sendToRandomHost sends a packet to a random entry host. It loses or duplicates
// the configured share of packets; a duplicate goes to a host of its own.
func (c *Caller) sendToRandomHost(packet []byte) {
	c.mu.Lock()
	host := c.opts.Entries[c.rand.IntN(len(c.opts.Entries))]
	duplicateHost := c.opts.Entries[c.rand.IntN(len(c.opts.Entries))]
	lost, duplicated := c.rand.Float64() < c.opts.Lost, c.rand.Float64() < c.opts.Doubled
	c.mu.Unlock()
	if !lost {
		c.endpoint.Send(host, packet)
	}
	if duplicated {
		c.endpoint.Send(duplicateHost, packet)
	}
}

func (c *Caller) handlePacket(p *inner.Packet) {
	if p.Key.Proto() == inner.TCP {
		c.onSegment(p)
		return
	}
	c.onAnswer(p)
}

// currentSecond returns the results and the latency histogram of the present
// second of the run. c.mu must be held.
func (c *Caller) currentSecond() (*Second, *hdrhistogram.Histogram) {
	i := int(time.Since(c.startedAt) / time.Second)
	for len(c.report.PerSecond) <= i {
		c.report.PerSecond = append(c.report.PerSecond, Second{ByServer: map[string]int{}})
		c.latencyBySecond = append(c.latencyBySecond, newHistogram())
	}
	return &c.report.PerSecond[i], c.latencyBySecond[i]
}
