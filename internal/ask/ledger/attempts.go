package ledger

import "slices"

// Numbers returns the numbers of all attempts.
func (e *Entry) Numbers() []uint64 {
	var out []uint64
	for i := range e.Attempts {
		out = append(out, e.Attempts[i].Number)
	}
	return out
}

// Unanswered returns the server of the first attempt that may have run, or "" if there is
// none.
func (e *Entry) Unanswered() string {
	for i := range e.Attempts {
		if !e.Attempts[i].NotRun {
			return e.Attempts[i].Server
		}
	}
	return ""
}

// SentByAnother reports whether there is an attempt of the given try, or of a later
// one, that is not in known. The host that knows of those in known did not send it.
func (e *Entry) SentByAnother(try uint32, known []uint64) bool {
	return slices.ContainsFunc(e.Attempts, func(a Attempt) bool { return a.Try >= try && !slices.Contains(known, a.Number) })
}
