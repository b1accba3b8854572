package trace

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// noAnswer is the cause of packets that were given up without an answer. The other
// causes are the values of "why" in decisions that drop or reset a flow.
const noAnswer = "noAnswer"

// Loss counts the packets that were refused, dropped or left unanswered for one cause,
// on one service and in one data centre.
type Loss struct {
	// Cause is a value of "why" in a decision, or noAnswer.
	Cause string
	// Service is the service of the flow's server, or its route if that is unknown.
	Service string
	// Centre is the data centre of the entry host, or the host if that is unknown.
	Centre string
	Count  int
	// BySecond holds the counts by the start of the second.
	BySecond map[time.Time]int
	// Peak is the second with the most.
	Peak time.Time
}

// Summary groups the losses in the logs of many processes.
type Summary struct {
	// Losses are in the order of their counts, the largest first.
	Losses []Loss
	// From and To are the first and the last second with a loss.
	From, To time.Time
}

type lossKey struct{ cause, service, centre string }

// Summarize groups the losses by cause, service, data centre and second. Lines that a
// host left out to keep its log short are counted with the next line that was written.
func Summarize(lines []Line) *Summary {
	centres, services := map[string]string{}, map[string]string{}
	for i := range lines {
		l := &lines[i]
		switch l.Message {
		case "Entry host is up.":
			centres[l.Source] = l.Field("centre")
		case "Server known.", "Server announced.":
			services[l.Field("id")] = l.Field("service")
		}
	}
	losses := map[lossKey]*Loss{}
	summary := &Summary{}
	for i := range lines {
		l := &lines[i]
		cause := causeOf(l)
		if cause == "" {
			continue
		}
		key := lossKey{cause, cmp.Or(services[l.Field("server")], routeOf(l.Field("flow"))), cmp.Or(centres[l.Source], l.Source)}
		loss := losses[key]
		if loss == nil {
			loss = &Loss{Cause: key.cause, Service: key.service, Centre: key.centre, BySecond: map[time.Time]int{}}
			losses[key] = loss
		}
		summary.add(loss, l)
	}
	for _, loss := range losses {
		summary.Losses = append(summary.Losses, *loss)
	}
	slices.SortFunc(summary.Losses, func(a, b Loss) int {
		return cmp.Or(b.Count-a.Count, cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Centre, b.Centre))
	})
	return summary
}

func (s *Summary) add(loss *Loss, l *Line) {
	second := l.Time.Truncate(time.Second)
	// A line without a number omitted none.
	omitted, _ := strconv.Atoi(l.Field("omitted"))
	loss.Count += 1 + omitted
	loss.BySecond[second] += 1 + omitted
	if loss.BySecond[second] > loss.BySecond[loss.Peak] {
		loss.Peak = second
	}
	if s.From.IsZero() || second.Before(s.From) {
		s.From = second
	}
	if second.After(s.To) {
		s.To = second
	}
}

// causeOf returns the cause of the loss that a line reports, or "".
func causeOf(l *Line) string {
	switch {
	case l.Message == "No answer seen.":
		return noAnswer
	case l.Message == "Flow decided." && l.Field("outcome") != "forward":
		return l.Field("why")
	default:
		return ""
	}
}

// routeOf returns the route in "client>route".
func routeOf(flow string) string {
	for i := range flow {
		if flow[i] == '>' {
			return flow[i+1:]
		}
	}
	return flow
}

// Causes returns the counts by cause, the largest first.
func (s *Summary) Causes() []Loss {
	byCause := map[string]*Loss{}
	for i := range s.Losses {
		l := &s.Losses[i]
		sum := byCause[l.Cause]
		if sum == nil {
			sum = &Loss{Cause: l.Cause, BySecond: map[time.Time]int{}}
			byCause[l.Cause] = sum
		}
		sum.Count += l.Count
		for second, n := range l.BySecond {
			sum.BySecond[second] += n
		}
	}
	var out []Loss
	for _, sum := range byCause {
		out = append(out, *sum)
	}
	slices.SortFunc(out, func(a, b Loss) int { return cmp.Or(b.Count-a.Count, cmp.Compare(a.Cause, b.Cause)) })
	return out
}
