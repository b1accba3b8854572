package fleet

import "monsooncleat.example/monsooncleat/internal/base/clock"

// DeferSilence has no more servers become silent until DecideSilence, as they may announce
// themselves to a host that this one gets no news from. Those that have become silent after a
// time count as announcing themselves until then, too.
func (f *Fleet) DeferSilence(after clock.Millis) {
	f.deferred = true
	for _, s := range f.servers {
		if s.silentSince > after {
			s.retracted, s.silentSince = s.silentSince, 0
			f.touch(s, true)
		}
	}
}

// DecideSilence ends DeferSilence. Servers that were silent before are so again, unless they
// have announced themselves since.
func (f *Fleet) DecideSilence() {
	f.deferred = false
	for _, s := range f.servers {
		if s.retracted > 0 {
			s.silentSince, s.retracted = s.retracted, 0
			f.touch(s, true)
		}
	}
}

// SilenceDeferred reports whether DeferSilence holds.
func (f *Fleet) SilenceDeferred() bool { return f.deferred }

// Unheard reports whether the server is silent, or was before DeferSilence.
func (s *Server) Unheard() bool { return s.silentSince > 0 || s.retracted > 0 }

// setSilentSince sets since when the server is silent, or 0.
func (s *Server) setSilentSince(at clock.Millis) { s.silentSince, s.retracted = at, 0 }
