// Package caller is a stand-in for callers: it sends a bounded load of requests
// and streams, sprays its packets over the entry hosts, and checks each answer.
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

// Options say what load a caller brings.
type Options struct {
	// Bind is the loopback address of the caller's tunnel endpoint. Its IP
	// address is also the callers' own.
	Bind    string
	Entries []netip.AddrPort
	// Requests go to RequestService at Rate a second.
	Requests       int
	Rate           float64
	RequestService netip.AddrPort
	// Idempotent is the share of requests that may run twice.
	Idempotent float64
	// Deadline is how long an answer to one try is of use.
	Deadline time.Duration
	// Tries is how often a caller comes back after notRun.
	Tries int
	// Streams go to StreamService and stay open until Hold has passed.
	Streams       int
	StreamService netip.AddrPort
	Hold          time.Duration
	Seed          uint64
	// Doubled is the share of packets that the fabric doubles, Lost that it
	// loses.
	Doubled float64
	Lost    float64
}

// Report is what came of the load.
type Report struct {
	Answered    int            `json:"answered"`
	NotRun      int            `json:"notRun"`
	Unknown     int            `json:"unknown"`
	Lost        int            `json:"lost"`
	Crossed     int            `json:"crossed"`
	Refusals    int            `json:"refusals"`
	Resends     int            `json:"resends"`
	Streams     int            `json:"streams"`
	Broken      int            `json:"brokenFlows"`
	P50         float64        `json:"p50Ms"`
	P99         float64        `json:"p99Ms"`
	ByServer    map[string]int `json:"byServer"`
	StreamsBy   map[string]int `json:"streamsByServer"`
	BrokenBy    map[string]int `json:"brokenBy,omitempty"`
	BrokenOn    map[string]int `json:"brokenOn,omitempty"`
	PerSecond   []Second       `json:"perSecond"`
	StreamsOpen int            `json:"streamsOpenAtEnd"`
}

// Second is what happened in one second of the run.
type Second struct {
	Answered int            `json:"answered"`
	NotRun   int            `json:"notRun"`
	ByServer map[string]int `json:"byServer"`
	P99      float64        `json:"p99Ms"`
}

// Result is the ending of one request.
type Result struct {
	ID         string
	Idempotent bool
	Outcome    string
	// Refused lists the tries that were refused as not run.
	Refused []uint32
}

const (
	histogramMax = 60_000_000 // microseconds
	histogramSig = 3
)

// Caller is a running stand-in.
type Caller struct {
	opts    Options
	end     *tunnel.Endpoint
	self    netip.Addr
	start   time.Time
	mu      sync.Mutex
	rand    *rand.Rand
	asks    map[string]*ask
	flows   map[netip.AddrPort]*flow
	report  Report
	results []Result
	latency *hdrhistogram.Histogram
	seconds []*hdrhistogram.Histogram
}

// New opens the caller's endpoint.
func New(opts Options) (*Caller, error) {
	bind, err := netip.ParseAddrPort(opts.Bind)
	if err != nil {
		return nil, fmt.Errorf("bind: %w", err)
	}
	end, err := tunnel.Open(opts.Bind)
	if err != nil {
		return nil, err
	}
	return &Caller{
		opts: opts, end: end, self: bind.Addr(), start: time.Now(),
		rand: rand.New(rand.NewPCG(opts.Seed, 2)), asks: map[string]*ask{}, flows: map[netip.AddrPort]*flow{},
		report:  Report{ByServer: map[string]int{}, StreamsBy: map[string]int{}, BrokenBy: map[string]int{}, BrokenOn: map[string]int{}},
		latency: newHistogram(),
	}, nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramSig)
}

// Run brings the whole load and returns what came of it. It ends by itself:
// each request and each stream has its longest time.
func (c *Caller) Run() (*Report, []Result) {
	go c.end.Serve(c.handle)
	defer c.end.Close()
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
	for i, h := range c.seconds {
		c.report.PerSecond[i].P99 = float64(h.ValueAtQuantile(99)) / 1000
	}
	return &c.report, c.results
}

// sendRequests starts the requests at their rate, evenly in time.
func (c *Caller) sendRequests(wg *sync.WaitGroup) {
	begin := time.Now()
	for i := range c.opts.Requests {
		due := begin.Add(time.Duration(float64(i) / c.opts.Rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		wg.Go(func() { c.runRequest(i) })
	}
}

// spray hands a packet to one entry host at random, as the fabric does.
func (c *Caller) spray(packet []byte) {
	c.mu.Lock()
	to := c.opts.Entries[c.rand.IntN(len(c.opts.Entries))]
	again := c.opts.Entries[c.rand.IntN(len(c.opts.Entries))]
	lost, doubled := c.rand.Float64() < c.opts.Lost, c.rand.Float64() < c.opts.Doubled
	c.mu.Unlock()
	if !lost {
		c.end.Send(to, packet)
	}
	if doubled {
		c.end.Send(again, packet)
	}
}

func (c *Caller) handle(p *inner.Packet) {
	if p.Key.Proto() == inner.TCP {
		c.onSegment(p)
		return
	}
	c.onAnswer(p)
}

// second returns the counts of the present second. The caller holds mu.
func (c *Caller) second() (*Second, *hdrhistogram.Histogram) {
	i := int(time.Since(c.start) / time.Second)
	for len(c.report.PerSecond) <= i {
		c.report.PerSecond = append(c.report.PerSecond, Second{ByServer: map[string]int{}})
		c.seconds = append(c.seconds, newHistogram())
	}
	return &c.report.PerSecond[i], c.seconds[i]
}
