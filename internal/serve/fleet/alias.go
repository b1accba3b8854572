package fleet

import "monsooncleat.example/monsooncleat/internal/base/clock"

// Alias is the start of another incarnation of a server, at the same address. Entry hosts
// that knew that one opened flows under its token, and the present one accepted them.
type Alias struct {
	Started clock.Millis `msgpack:"started"`
	// Age is the time since the incarnation was replaced.
	Age clock.Millis `msgpack:"age"`
}
