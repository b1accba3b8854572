// Package count names the event counters of an entry host and holds their values.
package count

// Counter identifies an event counter.
type Counter uint8

// Counters of an entry host.
const (
	// PacketsIn counts packets from the fabric.
	PacketsIn Counter = iota
	// PacketsRelayedIn counts packets relayed by other entry hosts.
	PacketsRelayedIn
	PacketsRelayedOut
	// PacketsForwarded counts packets of flows sent to a server.
	PacketsForwarded
	Malformed
	// NotReady counts packets dropped without a bundle or an owner.
	NotReady
	NoService
	TooManyHops
	// Unroutable counts datagrams dropped for lack of a valid address.
	Unroutable
	// CrossedPrevented counts packets and requests that were not sent because the server,
	// or its address, belongs to another service or, for requests, is gone.
	CrossedPrevented
	FlowsOpened
	// FlowsAdopted counts unknown flows assigned to a server in mid-stream.
	FlowsAdopted
	// FlowsAsked counts lookups of unknown flows at the previous owner.
	FlowsAsked
	// FlowsUnknown counts mid-stream packets refused for lack of a record.
	FlowsUnknown
	// FlowsRefused counts flows refused for lack of a server, or because
	// the limit of flows was reached.
	FlowsRefused
	// FlowsCopied counts flows replicated to another host.
	FlowsCopied
	FlowsProbed
	// FlowsSilent counts flows reset because one end no longer responds.
	FlowsSilent
	// RequestsTaken counts new requests that this host received as owner,
	// including those that it refused.
	RequestsTaken
	// RequestsJoined counts resends of known requests.
	RequestsJoined
	// RequestsAsked counts lookups of unknown requests at the previous owner.
	RequestsAsked
	// RequestsNoted counts requests recorded and forwarded for their owner.
	RequestsNoted
	// RequestsNoteRefused counts requests that this host did not record for
	// their owner.
	RequestsNoteRefused
	// RequestsUncertain counts requests answered as unknown because another
	// host may have sent them, and RequestsFenced those among them that arrived
	// while this host lacked a majority.
	RequestsUncertain
	RequestsFenced
	// RequestsClashed counts requests with the ID of another request.
	RequestsClashed
	RequestsSent
	RequestsAnswered
	RequestsRefused
	// RequestsUnknown counts accepted requests that ended with the outcome
	// unknown. Those in RequestsUncertain were not accepted.
	RequestsUnknown
	// RequestsDropped counts requests dropped without an answer because the
	// refused try could not be recorded.
	RequestsDropped
	// AnswersLate counts answers and resends that are out of date.
	AnswersLate
	// AttemptsSilent counts attempts without an answer in time.
	AttemptsSilent
	// ServerSheds counts attempts answered as not run by the server, or by the
	// successor in its place.
	ServerSheds
	Retries
	// Cancels counts cancellations and inquiries sent to servers.
	Cancels
	ReleasesAccepted
	ReleasesRefused
	// StoodAside counts packets dropped while the host declined new work or awaited the
	// announcements of servers.
	StoodAside
	// Deposed counts how often the other hosts declared this host dead.
	Deposed
)

// CounterCount is the number of counters.
const CounterCount = int(Deposed) + 1

var counterNames = [CounterCount]string{
	"packetsIn", "packetsRelayedIn", "packetsRelayedOut", "packetsForwarded", "malformed", "notReady",
	"noService", "tooManyHops", "unroutable", "crossedPrevented", "flowsOpened", "flowsAdopted", "flowsAsked",
	"flowsUnknown", "flowsRefused", "flowsCopied", "flowsProbed", "flowsSilent",
	"requestsTaken", "requestsJoined", "requestsAsked", "requestsNoted", "requestsNoteRefused",
	"requestsUncertain", "requestsFenced", "requestsClashed", "requestsSent", "requestsAnswered", "requestsRefused",
	"requestsUnknown", "requestsDropped", "answersLate", "attemptsSilent", "serverSheds", "retries", "cancels",
	"releasesAccepted", "releasesRefused", "stoodAside", "deposed",
}

// String returns the counter's name in metrics and dumps.
func (c Counter) String() string { return counterNames[c] }

// Counters holds the values of the event counters. The zero value has counted nothing.
type Counters struct {
	values [CounterCount]uint64
}

// Add adds n to a counter.
func (cs *Counters) Add(c Counter, n uint64) { cs.values[c] += n }

// Get returns a counter's value.
func (cs *Counters) Get(c Counter) uint64 { return cs.values[c] }

// All returns the values of all counters by name.
func (cs *Counters) All() map[string]uint64 {
	out := make(map[string]uint64, CounterCount)
	for i, v := range cs.values {
		out[counterNames[i]] = v
	}
	return out
}
