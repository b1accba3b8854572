package evac

import (
	"cmp"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// Server is what the capacity check needs to know of a backend server.
type Server struct {
	Centre  string
	Service string
	// Slots is the number of requests that the server handles at once, or 0 if it takes no
	// new flows.
	Slots int
	// InFlight is the number of requests in flight on the server, and Flows the number of
	// active long flows.
	InFlight, Flows float64
}

// Shortage is a service whose servers outside the evacuated data centres cannot bear its
// demand.
type Shortage struct {
	Service string `json:"service"`
	// InFlight is the number of requests in flight, and Slots that of the slots left.
	InFlight float64 `json:"inFlight"`
	Slots    int     `json:"slots"`
}

// Shortages returns the services, sorted by name, whose requests in flight exceed the
// slots outside the evacuated data centres, or that have slots only in these.
func Shortages(servers []Server, evacuated func(centre string) bool) []Shortage {
	type room struct {
		inFlight    float64
		slots, left int
	}
	rooms := map[string]*room{}
	for i := range servers {
		s := &servers[i]
		r := rooms[s.Service]
		if r == nil {
			r = &room{}
			rooms[s.Service] = r
		}
		r.inFlight += s.InFlight
		r.slots += s.Slots
		if !evacuated(s.Centre) {
			r.left += s.Slots
		}
	}
	var out []Shortage
	for service, r := range rooms {
		if r.left < r.slots && (r.left == 0 || r.inFlight > float64(r.left)) {
			out = append(out, Shortage{service, r.inFlight, r.left})
		}
	}
	slices.SortFunc(out, func(a, b Shortage) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// Use is the use of a data centre.
type Use struct {
	Centre    string `json:"centre"`
	Evacuated bool   `json:"evacuated"`
	// SinceMillis is the time since the last change, as the answering host knows it, or
	// 0 if the data centre was never evacuated.
	SinceMillis int64 `json:"sinceMillis"`
	// Servers is the number of servers that take new flows unless the data centre is
	// evacuated.
	Servers int `json:"servers"`
	// InFlight is the number of requests in flight on all servers, and Flows that of
	// active long flows.
	InFlight float64 `json:"inFlight"`
	Flows    float64 `json:"flows"`
}

// Uses returns the use of all data centres that have servers or that had orders, sorted
// by name.
func (s *State) Uses(now clock.Millis, servers []Server) []Use {
	uses := map[string]*Use{}
	for name, c := range s.centres {
		uses[name] = &Use{Centre: name, Evacuated: c.active()}
		if c.Changed > 0 {
			uses[name].SinceMillis = int64(now - c.changedAt)
		}
	}
	for i := range servers {
		server := &servers[i]
		u := uses[server.Centre]
		if u == nil {
			u = &Use{Centre: server.Centre}
			uses[server.Centre] = u
		}
		u.InFlight += server.InFlight
		u.Flows += server.Flows
		if server.Slots > 0 {
			u.Servers++
		}
	}
	out := make([]Use, 0, len(uses))
	for _, u := range uses {
		out = append(out, *u)
	}
	slices.SortFunc(out, func(a, b Use) int { return cmp.Compare(a.Centre, b.Centre) })
	return out
}
