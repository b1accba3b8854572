package spec

import (
	"fmt"
	"math/big"
	"slices"

	"monsooncleat.example/monsooncleat/internal/conf/strict"
)

// Check records the faults of a decoded bundle.
func (f *file) Check(c *strict.Checker) {
	c.Check(f.Version > 0, "version", "is missing; want a whole number above 0")
	c.Check(len(f.DataCentres) > 0, "dataCentre", "is missing; want at least one data centre")
	c.Check(len(f.Services) > 0, "service", "is missing; want at least one service")
	centres := f.checkCentres(c)
	f.checkStages(c, centres)
	names := map[string]bool{}
	owners := map[Address]string{}
	for i, s := range f.Services {
		at := fmt.Sprintf("service[%d]", i)
		c.Check(s.Name != "", at+".name", "is missing")
		c.Check(!names[s.Name], at+".name", "%q stands twice", s.Name)
		names[s.Name] = true
		s.check(c, at, centres)
		s.checkAddresses(c, at, owners)
	}
}

func (f *file) checkCentres(c *strict.Checker) []string {
	var centres []string
	for i, d := range f.DataCentres {
		field := fmt.Sprintf("dataCentre[%d].name", i)
		c.Check(d.Name != "", field, "is missing")
		c.Check(!slices.Contains(centres, d.Name), field, "%q stands twice", d.Name)
		centres = append(centres, d.Name)
	}
	return centres
}

func (f *file) checkStages(c *strict.Checker, centres []string) {
	if len(f.Roll.Stages) == 0 {
		return
	}
	seen := map[string]bool{}
	for _, stage := range f.Roll.Stages {
		for _, name := range stage {
			c.Check(slices.Contains(centres, name), "roll.stages", "unknown data centre %q", name)
			c.Check(!seen[name], "roll.stages", "%q stands twice", name)
			seen[name] = true
		}
	}
	for _, name := range centres {
		c.Check(seen[name], "roll.stages", "data centre %q is in no stage", name)
	}
}

func (s *serviceTable) check(c *strict.Checker, at string, centres []string) {
	c.Check(s.Kind == Stream || s.Kind == Request, at+".kind", "want \"stream\" or \"request\", not %q", s.Kind)
	c.Check(s.Protocol == "tcp" || s.Protocol == "udp", at+".protocol", "want \"tcp\" or \"udp\", not %q", s.Protocol)
	c.Check(s.Kind != Request || s.Protocol == "udp", at+".protocol", "a request service uses \"udp\"")
	for _, d := range s.DataCentres {
		c.Check(slices.Contains(centres, d), at+".dataCentres", "unknown data centre %q", d)
	}
	prime := s.Buckets > 0 && big.NewInt(int64(s.Buckets)).ProbablyPrime(0)
	c.Check(s.Buckets == 0 || prime && s.Buckets <= maxBuckets, at+".buckets", "want a prime number up to %d", maxBuckets)
	c.Check(s.Limits.Slots >= 0, at+".limits.slots", "must not be negative")
	c.Check(s.Limits.Connections >= 0, at+".limits.connections", "must not be negative")
	c.Check(s.RetryShare == nil || *s.RetryShare >= 0 && *s.RetryShare <= 1, at+".retryShare", "want a share from 0 to 1")
}

func (s *serviceTable) checkAddresses(c *strict.Checker, at string, owners map[Address]string) {
	c.Check(len(s.Addresses) > 0, at+".addresses", "is missing; want at least one address")
	for _, e := range s.Addresses {
		a := Address{protoOf(s), e.AddrPort}
		owner, taken := owners[a]
		c.Check(!taken, at+".addresses", "%s belongs to service %q", e, owner)
		owners[a] = s.Name
	}
}
