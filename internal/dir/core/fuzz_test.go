package core_test

import (
	"testing"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/dir/evac"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// FuzzMessageFromAnotherHost guards against a message that ends the process. Frames are
// authenticated, so such a message comes from a faulty or another build.
func FuzzMessageFromAnotherHost(f *testing.F) {
	for _, e := range []*msgs.Envelope{
		{Fetch: &msgs.Fetch{Name: "e", Form: msgs.BlockForm, Part: msgs.RestPart, Since: 3, RunID: 7, Centre: "hall-0", Loads: hostLoads(1, 12)}},
		{Fetch: &msgs.Fetch{Name: "e", Brief: true}},
		{Sync: &msgs.Sync{From: "10.0.0.2:7000/x", RunID: 7, Since: 2, Form: msgs.BlockForm}},
		{SyncReply: &msgs.SyncReply{From: "10.0.0.2:7000/x", RunID: 1, Position: 9, Blocks: []msgs.Block{{Data: []byte{1, 0, 1}}}}},
		{Raft: &raft.Message{From: "10.0.0.2:7000/x", To: "10.0.0.1:7000/founder", Term: 5}},
		{JoinRequest: &msgs.JoinRequest{ID: "10.0.0.2:7000/x", Former: []raft.ID{"10.0.0.2:7000/y"}}},
		{ProposeRequest: &msgs.ProposeRequest{From: "10.0.0.2:7000/x", RequestID: 3, Data: []byte{1}}},
		{ProposeRequest: &msgs.ProposeRequest{From: "10.0.0.2:7000/x", RequestID: 4, Data: evac.EncodeEntry(&evac.Order{Centre: "hall-0", Start: true})}},
		{ProposeReply: &msgs.ProposeReply{RequestID: 1, Committed: true, Data: []byte{0xc0}}},
		{ReplicateRequest: &msgs.ReplicateRequest{From: "10.0.0.2:7000/x", Record: fleet.Record{ID: "i-1"}}},
		{ResignRequest: &msgs.ResignRequest{ID: "10.0.0.1:7000/founder"}},
	} {
		f.Add(msgs.Encode(e))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		m, err := msgs.Decode(body)
		if err != nil {
			return
		}
		c := newControlHost(t, 12)
		c.HandleMessage(3300, 1, m)
		c.Tick(3400)
		c.Take()
		c.HandleMessage(3500, 2, m)
		c.Tick(3600)
		c.Take()
	})
}
