package spec

import (
	"fmt"
	"math/big"
	"slices"

	"monsooncleat.example/monsooncleat/internal/conf/strict"
)

// Validate validates the decoded document and reports each problem to c. The texts
// of the problems are stored in the replicated state and must not change: hosts
// of different builds have to store the same text.
func (f *file) Validate(c *strict.Checker) {
	c.Check(f.Version > 0, "version", "is missing; want a whole number above 0")
	c.Check(len(f.DataCentres) > 0, "dataCentre", "is missing; want at least one data centre")
	c.Check(len(f.Services) > 0, "service", "is missing; want at least one service")
	centres := f.checkCentres(c)
	f.checkStages(c, centres)
	names := map[string]bool{}
	serviceByAddress := map[Address]string{}
	for i, s := range f.Services {
		path := fmt.Sprintf("service[%d]", i)
		c.Check(s.Name != "", path+".name", "is missing")
		c.Check(!names[s.Name], path+".name", "%q stands twice", s.Name)
		names[s.Name] = true
		s.check(c, path, centres)
		s.checkAddresses(c, path, serviceByAddress)
	}
}

// checkCentres reports missing and duplicate names of data centres and returns
// all names.
func (f *file) checkCentres(c *strict.Checker) []string {
	var centres []string
	for i, centre := range f.DataCentres {
		field := fmt.Sprintf("dataCentre[%d].name", i)
		c.Check(centre.Name != "", field, "is missing")
		c.Check(!slices.Contains(centres, centre.Name), field, "%q stands twice", centre.Name)
		centres = append(centres, centre.Name)
	}
	return centres
}

// checkStages reports data centres that are not in exactly one stage, unless
// there are no stages.
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

func (s *serviceTable) check(c *strict.Checker, path string, centres []string) {
	c.Check(s.Kind == Stream || s.Kind == Request, path+".kind", "want \"stream\" or \"request\", not %q", s.Kind)
	c.Check(s.Protocol == "tcp" || s.Protocol == "udp", path+".protocol", "want \"tcp\" or \"udp\", not %q", s.Protocol)
	c.Check(s.Kind != Request || s.Protocol == "udp", path+".protocol", "a request service uses \"udp\"")
	for _, name := range s.DataCentres {
		c.Check(slices.Contains(centres, name), path+".dataCentres", "unknown data centre %q", name)
	}
	prime := s.Buckets > 0 && big.NewInt(int64(s.Buckets)).ProbablyPrime(0)
	c.Check(s.Buckets == 0 || prime && s.Buckets <= maxTableSize, path+".buckets", "want a prime number up to %d", maxTableSize)
	c.Check(s.Limits.Slots >= 0, path+".limits.slots", "must not be negative")
	c.Check(s.Limits.Connections >= 0, path+".limits.connections", "must not be negative")
	c.Check(s.RetryShare == nil || *s.RetryShare >= 0 && *s.RetryShare <= 1, path+".retryShare", "want a share from 0 to 1")
}

// checkAddresses reports missing and duplicate addresses. ServiceByAddress maps
// the addresses seen so far to the names of their services.
func (s *serviceTable) checkAddresses(c *strict.Checker, path string, serviceByAddress map[Address]string) {
	c.Check(len(s.Addresses) > 0, path+".addresses", "is missing; want at least one address")
	for _, e := range s.Addresses {
		a := Address{protocolOf(s), e.AddrPort}
		other, inUse := serviceByAddress[a]
		c.Check(!inUse, path+".addresses", "%s belongs to service %q", e, other)
		serviceByAddress[a] = s.Name
	}
}
