package monsooncleat

import (
	"math/rand/v2"

	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/serve/tokens"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

// Flows chooses a server for each new flow and routes the flow's later packets by
// the token that they carry. After the handshake, all hosts with the same set of
// servers route a packet in the same way.
type Flows = core.Core

type (
	// FlowsOptions are the settings of Flows.
	FlowsOptions = core.Options
	// FlowPacket holds the header fields of a client's packet.
	FlowPacket = core.Packet
	// FlowAction is the decision about a packet: drop, forward or reset.
	FlowAction = core.Action
	// FlowUpdate updates the servers and loads that Flows uses.
	FlowUpdate = core.Update
	// FlowServer is a server in a FlowUpdate.
	FlowServer = core.ServerUpdate
	// Token identifies one incarnation of a server.
	Token = tokens.Token
	// Announcement describes a server, as sent by the server itself.
	Announcement = fleet.Record
	// RouteTable maps addresses to the services that take their flows.
	RouteTable = routes.Table
	// Route is one address of a RouteTable.
	Route = routes.Route
	// RouteTarget is a service of a Route, with its weight.
	RouteTarget = routes.Target
	// FlowChoice holds the settings for choosing the server of a new flow.
	FlowChoice = choose.Settings
)

// Verdicts in a FlowAction.
const (
	FlowDrop    = core.Drop
	FlowForward = core.Forward
	FlowReset   = core.Reset
)

// ServerReady is the state of a server that accepts new flows.
const ServerReady = fleet.Ready

// DefaultFlowChoice keeps flows in their data centre while the mean utilization of
// its servers is at most 65 %.
var DefaultFlowChoice = choose.DefaultSettings

// NewFlows returns a Flows without routes and servers.
func NewFlows(options FlowsOptions, r *rand.Rand) *Flows { return core.New(options, r) }
