package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/peer"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
)

const (
	// configurationTimeout bounds a read of configuration from a peer.
	configurationTimeout = 2 * time.Second
	// bodiesPerRequest bounds the bodies that a peer is asked for at once.
	bodiesPerRequest = 256
	// bodyBytesPerReply bounds the bodies that a peer answers with at once.
	bodyBytesPerReply = 512 << 10
)

// configurationPeers implements rollout.Peers over the inner protocol.
type configurationPeers struct {
	client  *peer.Client
	members *members
}

var _ rollout.Peers = (*configurationPeers)(nil)

// Head implements rollout.Peers.
func (p *configurationPeers) Head(name string) ([]byte, platform.Version, error) {
	var reply peer.HeadReply
	if err := p.call(name, peer.MethodHead, nil, &reply); err != nil {
		return nil, 0, err
	}
	return reply.Head, platform.Version(reply.Version), nil
}

// Bodies implements rollout.Peers.
func (p *configurationPeers) Bodies(name string, refs []rollout.ServiceRef) (map[string][]byte, error) {
	var request peer.BodiesRequest
	for _, ref := range refs[:min(len(refs), bodiesPerRequest)] {
		request.Bodies = append(request.Bodies, peer.BodyRef{Service: ref.Name, Hash: ref.Hash})
	}
	var reply peer.BodiesReply
	err := p.call(name, peer.MethodBodies, request, &reply)
	return reply.Bodies, err
}

func (p *configurationPeers) call(name, method string, params, result any) error {
	address, ok := p.members.addressOf(name)
	if !ok {
		return &UnknownPeerError{Name: name}
	}
	ctx, cancel := context.WithTimeout(context.Background(), configurationTimeout)
	defer cancel()
	return p.client.Call(ctx, address, method, params, result)
}

// UnknownPeerError reports an entry VM that isn't a member, or is dead.
type UnknownPeerError struct{ Name string }

// Error implements error.
func (e *UnknownPeerError) Error() string { return "daemon: " + e.Name + " is not a member" }

// registerConfiguration adds the methods that give configuration to peers.
func registerConfiguration(server *peer.Server, follower *rollout.Follower) {
	server.Register(peer.MethodHead, func(context.Context, json.RawMessage) (any, error) {
		value, version, err := follower.ServeHead()
		return peer.HeadReply{Head: value, Version: uint64(version)}, err
	})
	server.Register(peer.MethodBodies, func(_ context.Context, params json.RawMessage) (any, error) {
		var request peer.BodiesRequest
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, err
		}
		var refs []rollout.ServiceRef
		for _, ref := range request.Bodies {
			refs = append(refs, rollout.ServiceRef{Name: ref.Service, Hash: ref.Hash})
		}
		return peer.BodiesReply{Bodies: follower.ServeBodies(refs, bodyBytesPerReply)}, nil
	})
}
