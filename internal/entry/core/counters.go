package core

// Counter names one count of events.
type Counter uint8

// Counters of a Core.
const (
	PacketsIn Counter = iota
	PacketsRelayedIn
	PacketsRelayedOut
	PacketsForwarded
	Malformed
	NotReady
	NoService
	TooManyHops
	Unroutable
	CrossedPrevented
	FlowsOpened
	FlowsAdopted
	FlowsAsked
	FlowsUnknown
	FlowsRefused
	FlowsServerGone
	FlowsCopied
	FlowsProbed
	FlowsSilent
	RequestsTaken
	RequestsJoined
	RequestsAsked
	RequestsNoted
	RequestsNoteRefused
	RequestsUncertain
	RequestsFenced
	RequestsClashed
	RequestsSent
	RequestsAnswered
	RequestsRefused
	RequestsUnknown
	RequestsDropped
	AnswersLate
	AttemptsSilent
	ServerSheds
	Retries
	Cancels
	ReleasesAccepted
	ReleasesRefused
	StoodAside
	Deposed
)

// CounterCount is the number of counters.
const CounterCount = int(Deposed) + 1

var counterNames = [CounterCount]string{
	"packetsIn", "packetsRelayedIn", "packetsRelayedOut", "packetsForwarded", "malformed", "notReady",
	"noService", "tooManyHops", "unroutable", "crossedPrevented", "flowsOpened", "flowsAdopted", "flowsAsked",
	"flowsUnknown", "flowsRefused", "flowsServerGone", "flowsCopied", "flowsProbed", "flowsSilent",
	"requestsTaken", "requestsJoined", "requestsAsked", "requestsNoted", "requestsNoteRefused",
	"requestsUncertain", "requestsFenced", "requestsClashed", "requestsSent", "requestsAnswered", "requestsRefused",
	"requestsUnknown", "requestsDropped", "answersLate", "attemptsSilent", "serverSheds", "retries", "cancels",
	"releasesAccepted", "releasesRefused", "stoodAside", "deposed",
}

// String returns the counter's name in metrics and dumps.
func (n Counter) String() string { return counterNames[n] }

// Counters holds the counts of a Core.
type Counters struct {
	values [CounterCount]uint64
}

// Add adds n to a counter.
func (k *Counters) Add(c Counter, n uint64) { k.values[c] += n }

// Get returns a counter's value.
func (k *Counters) Get(c Counter) uint64 { return k.values[c] }

// All returns the values by name.
func (k *Counters) All() map[string]uint64 {
	out := make(map[string]uint64, CounterCount)
	for i, v := range k.values {
		out[counterNames[i]] = v
	}
	return out
}

// Counters returns the counts of events since the start.
func (c *Core) Counters() *Counters { return &c.counters }
