package core

import "monsooncleat.example/monsooncleat/internal/flow/table"

// serverForUnknownFlow returns the server for a mid-stream packet of an unknown
// flow, or zero.
func (c *Core) serverForUnknownFlow(s *service, hash uint64) table.NameID {
	return c.history[c.bucketOf(hash)].ForUnknownFlow(c.now, s.spec.IdleTimeout(), &s.places, hash)
}

// ownedLast reports whether this host is the owner of a bucket, or was before the
// present one.
func (c *Core) ownedLast(bucket int) bool {
	self := c.bootIDs[c.opts.Name]
	return c.bucketOwner[bucket] == self || c.formerOwner[bucket] == self
}

// nextOwnerDefault returns the default server that the next owner of a flow's
// bucket would use if the owner changed now.
func (c *Core) nextOwnerDefault(s *service, hash uint64) table.NameID {
	return c.history[c.bucketOf(hash)].NextDefault(c.now, handoverPeriod, &s.places, hash)
}
