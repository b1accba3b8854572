package core

import "monsooncleat.example/monsooncleat/internal/flow/table"

// serverForUnknownFlow returns the server for a mid-stream packet of an unknown
// flow, or zero.
func (c *Core) serverForUnknownFlow(s *service, hash uint64) table.NameID {
	return c.history[c.bucketOf(hash)].ForUnknownFlow(c.now, s.spec.IdleTimeout(), &s.places, hash)
}

// nextOwnerDefault returns the default server that the next owner of a flow's
// bucket would use if the owner changed now.
func (c *Core) nextOwnerDefault(s *service, hash uint64) table.NameID {
	return c.history[c.bucketOf(hash)].NextDefault(c.now, handoverPeriod, &s.places, hash)
}
