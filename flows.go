package monsooncleat

import (
	"math/rand/v2"

	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/token/core"
	"monsooncleat.example/monsooncleat/internal/token/mint"
)

// Flows routes the packets of flows by the tokens that they carry. Any number of
// hosts with the same servers route any packet alike.
type Flows = core.Core

type (
	// FlowsOptions are the settings of Flows.
	FlowsOptions = core.Options
	// FlowPacket is what a host reads of a caller's packet.
	FlowPacket = core.Packet
	// FlowAction is what becomes of a packet.
	FlowAction = core.Action
	// FlowUpdate is news of servers and loads for Flows.
	FlowUpdate = core.Update
	// FlowServer is a server in a FlowUpdate.
	FlowServer = core.ServerNews
	// Token names one incarnation of a server.
	Token = mint.Token
	// Announcement is what a server says of itself.
	Announcement = fleet.Record
	// RouteTable says which service takes the flows of an address.
	RouteTable = routes.Table
	// Route is one address of a RouteTable.
	Route = routes.Route
	// RouteTarget is a service of a Route.
	RouteTarget = routes.Target
	// FlowChoice tunes the choice of a server for a new flow.
	FlowChoice = choose.Settings
)

// Verdicts of Flows.
const (
	FlowDrop    = core.Drop
	FlowForward = core.Forward
	FlowReset   = core.Reset
)

// ServerReady is the state of a server that takes new flows.
const ServerReady = fleet.Ready

// DefaultFlowChoice keeps flows in their data centre while slots are free there.
var DefaultFlowChoice = choose.DefaultSettings

// NewFlows returns a Flows that knows no routes and no servers.
func NewFlows(options FlowsOptions, r *rand.Rand) *Flows { return core.New(options, r) }
