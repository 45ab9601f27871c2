package peer

import (
	"github.com/poplarwheel/poplarwheel/internal/membership"
)

// Methods between entry daemons.
const (
	// MethodPing carries a Heartbeat and is answered by one.
	MethodPing = "member.ping"
	// MethodProbe carries a ProbeRequest and is answered by a ProbeReply.
	MethodProbe = "member.probe"
	// MethodGossip carries a Heartbeat and is a notification.
	MethodGossip = "member.gossip"
	// MethodSync carries a Heartbeat with all records and is answered by one.
	MethodSync = "member.sync"
	// MethodHead is answered by a HeadReply.
	MethodHead = "config.head"
	// MethodBodies carries a BodiesRequest and is answered by a BodiesReply.
	MethodBodies = "config.bodies"
)

// Heartbeat is a membership message with the sender's configuration revision.
type Heartbeat struct {
	membership.Message
	// Revision is the revision in force at the sender.
	Revision uint64 `json:"v"`
}

// ProbeRequest asks the receiver to ping another member.
type ProbeRequest struct {
	// IP is the address of the member to ping.
	IP string `json:"ip"`
	// Ping is passed on to the member.
	Ping Heartbeat `json:"p"`
}

// ProbeReply tells the end of an indirect ping.
type ProbeReply struct {
	// Answer is the pinged member's, or nil if it didn't answer.
	Answer *Heartbeat `json:"a,omitempty"`
}

// HeadReply carries the head of the configuration in force.
type HeadReply struct {
	// Head is the head object as JSON; empty before the first acceptance.
	Head []byte `json:"head"`
	// Version is the platform version of the head object.
	Version uint64 `json:"version"`
}

// BodiesRequest asks for service bodies.
type BodiesRequest struct {
	Bodies []BodyRef `json:"bodies"`
}

// BodyRef names one service body.
type BodyRef struct {
	Service string `json:"service"`
	// Hash is the content address.
	Hash string `json:"hash"`
}

// BodiesReply carries as many of the bodies as fit.
type BodiesReply struct {
	// Bodies are stored bodies, keyed by service.
	Bodies map[string][]byte `json:"bodies"`
}
