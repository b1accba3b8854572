package lease_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/lease"
)

const (
	service = "tickets"
	keeper  = "k"
)

// poll sends one lease request to the keeper and applies its grant.
func poll(now clock.Millis, h *lease.Holder, k *lease.Keeper) {
	for _, request := range h.LeaseRequests(now, func(string) string { return keeper }) {
		if grant := k.OnLeaseRequest(now, request); grant != nil {
			grant.From = keeper
			h.OnGrant(grant)
		}
	}
}

// TestSurplusLeavesSlotsOnEachServer guards against a host that returns all of its
// surplus from one server, and then sends all requests to the others.
func TestSurplusLeavesSlotsOnEachServer(t *testing.T) {
	const servers, slots = 3, 16
	h := lease.NewHolder("h", 1, rand.New(rand.NewPCG(1, 2)))
	k := lease.NewKeeper()
	var pool []lease.Backend
	limits := map[string]lease.Limit{}
	for i := range servers {
		name := fmt.Sprintf("s%d", i)
		pool = append(pool, lease.Backend{Name: name, Weight: 1, Slots: slots})
		limits[name] = lease.Limit{Slots: slots, New: true}
	}
	k.SetLimits(0, limits)
	h.SetPool(service, pool)
	now := clock.Millis(0)
	run := func(hosts int, span clock.Millis) {
		h.SetHosts(hosts)
		for end := now + span; now < end; now += 10 {
			h.Arrive(now, service)
			if server := h.Acquire(now, service, ""); server != "" {
				h.Release(now, service, server, 10, lease.Answered)
			}
			if now%500 == 0 {
				poll(now, h, k)
			}
		}
	}
	run(1, 5*clock.Second)
	before := h.LeasedSlots(now, service)
	run(4, 5*clock.Second)
	qt.Assert(t, h.LeasedSlots(now, service) < before, qt.IsTrue)
	least, most := slots, 0
	for _, l := range h.Leases() {
		least, most = min(least, l.Granted), max(most, l.Granted)
	}
	qt.Check(t, most-least <= 1, qt.IsTrue, qt.Commentf("%+v", h.Leases()))
}
