// Package client implements a load generator that stands in for clients and for
// the network between them and the entry hosts. It sends a bounded load of
// requests and streams, sends each packet to a random entry host, as the fabric
// would spray it, and checks each answer.
package client

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
	// BindAddr is the loopback address of the tunnel endpoint. All simulated
	// clients share its IP address.
	BindAddr string
	// EntryHosts lists the fabric addresses of the entry hosts.
	EntryHosts []netip.AddrPort
	// Requests is the number of requests to send.
	Requests int
	// RequestRate is the number of requests sent per second.
	RequestRate float64
	// RequestService is the service address that requests are sent to.
	RequestService netip.AddrPort
	// IdempotentRate is the share of requests that may run twice.
	IdempotentRate float64
	// TryTimeout is the time limit of one try, which each request carries.
	TryTimeout time.Duration
	// MaxTries limits the tries of a request that is refused as not run.
	MaxTries int
	// Streams is the number of TCP streams to open.
	Streams int
	// StreamService is the service address that streams are opened to.
	StreamService netip.AddrPort
	// HoldTime is how long the streams stay open.
	HoldTime time.Duration
	Seed     uint64
	// DuplicateRate is the share of packets that the network duplicates.
	DuplicateRate float64
	// LossRate is the share of packets that the network loses.
	LossRate float64
}

// Report holds the results of a whole run.
type Report struct {
	// Answered to Lost count requests by their final outcome. Lost counts those
	// without an answer by lateAnswerWait after the deadline of a try.
	Answered int `json:"answered"`
	NotRun   int `json:"notRun"`
	Unknown  int `json:"unknown"`
	Lost     int `json:"lost"`
	// WrongAnswers counts answers with a wrong body, truncated or of another
	// request.
	WrongAnswers int `json:"crossed"`
	// Refusals counts tries that were refused as not run.
	Refusals int `json:"refusals"`
	// Resends counts repeated sends of the same try.
	Resends int `json:"resends"`
	// Streams counts the streams that were started.
	Streams int `json:"streams"`
	// BrokenStreams counts the streams that broke. The JSON name keeps the word
	// flows.
	BrokenStreams int `json:"brokenFlows"`
	// P50Millis is the median latency of answered requests in milliseconds, from
	// the first send of the first try.
	P50Millis float64 `json:"p50Ms"`
	// P99Millis is the 99th percentile of the same latency in milliseconds.
	P99Millis float64 `json:"p99Ms"`
	// ByServer counts answered requests by server.
	ByServer map[string]int `json:"byServer"`
	// StreamsByServer counts streams by the server that they reached first.
	StreamsByServer map[string]int `json:"streamsByServer"`
	// BrokenByReason counts broken streams by the reason.
	BrokenByReason map[string]int `json:"brokenBy,omitempty"`
	// BrokenByServer counts broken streams by the server that they reached first,
	// "" for those that got no data.
	BrokenByServer map[string]int `json:"brokenOn,omitempty"`
	PerSecond      []SecondReport `json:"perSecond"`
	// StreamsOpenAtEnd counts the streams that stayed open for the whole hold time.
	StreamsOpenAtEnd int `json:"streamsOpenAtEnd"`
}

// SecondReport holds the results of one second of the run.
type SecondReport struct {
	Answered int `json:"answered"`
	// Refusals counts refused tries, not requests.
	Refusals int            `json:"notRun"`
	ByServer map[string]int `json:"byServer"`
	// P99Millis is the 99th percentile of the latency in milliseconds.
	P99Millis float64 `json:"p99Ms"`
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

// Client is a load generator.
type Client struct {
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
func New(opts Options) (*Client, error) {
	bind, err := netip.ParseAddrPort(opts.BindAddr)
	if err != nil {
		return nil, fmt.Errorf("bind: %w", err)
	}
	endpoint, err := tunnel.Open(opts.BindAddr)
	if err != nil {
		return nil, err
	}
	return &Client{
		opts: opts, endpoint: endpoint, clientIP: bind.Addr(), startedAt: time.Now(),
		rand: rand.New(rand.NewPCG(opts.Seed, 2)), pending: map[string]*pendingRequest{}, streams: map[netip.AddrPort]*stream{},
		report:  Report{ByServer: map[string]int{}, StreamsByServer: map[string]int{}, BrokenByReason: map[string]int{}, BrokenByServer: map[string]int{}},
		latency: newHistogram(),
	}, nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantDigits)
}

// Run sends the whole load and returns the results. It always ends, because
// each try and each exchange on a stream has a time limit.
func (c *Client) Run() (*Report, []Result) {
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
	c.report.P50Millis = float64(c.latency.ValueAtQuantile(50)) / 1000
	c.report.P99Millis = float64(c.latency.ValueAtQuantile(99)) / 1000
	for i, h := range c.latencyBySecond {
		c.report.PerSecond[i].P99Millis = float64(h.ValueAtQuantile(99)) / 1000
	}
	return &c.report, c.results
}

// sendRequests starts the requests at the configured rate, evenly spaced.
func (c *Client) sendRequests(wg *sync.WaitGroup) {
	begin := time.Now()
	for i := range c.opts.Requests {
		due := begin.Add(time.Duration(float64(i) / c.opts.RequestRate * float64(time.Second)))
		time.Sleep(time.Until(due))
		wg.Go(func() { c.runRequest(i) })
	}
}

// sendToRandomHost sends a packet to a random entry host. It loses or duplicates the
// configured share of packets. The host of a duplicate is chosen independently.
func (c *Client) sendToRandomHost(packet []byte) {
	c.mu.Lock()
	host := c.opts.EntryHosts[c.rand.IntN(len(c.opts.EntryHosts))]
	duplicateHost := c.opts.EntryHosts[c.rand.IntN(len(c.opts.EntryHosts))]
	lost, duplicated := c.rand.Float64() < c.opts.LossRate, c.rand.Float64() < c.opts.DuplicateRate
	c.mu.Unlock()
	if !lost {
		c.endpoint.Send(host, packet)
	}
	if duplicated {
		c.endpoint.Send(duplicateHost, packet)
	}
}

func (c *Client) handlePacket(p *inner.Packet) {
	if p.Key.Proto() == inner.TCP {
		c.onSegment(p)
		return
	}
	c.onAnswer(p)
}

// currentSecond returns the results and the latency histogram of the present
// second of the run. c.mu must be held.
func (c *Client) currentSecond() (*SecondReport, *hdrhistogram.Histogram) {
	i := int(time.Since(c.startedAt) / time.Second)
	for len(c.report.PerSecond) <= i {
		c.report.PerSecond = append(c.report.PerSecond, SecondReport{ByServer: map[string]int{}})
		c.latencyBySecond = append(c.latencyBySecond, newHistogram())
	}
	return &c.report.PerSecond[i], c.latencyBySecond[i]
}
