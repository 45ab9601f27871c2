package relay

import (
	"context"
	"encoding/json"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/feed"
	"github.com/poplarwheel/poplarwheel/internal/peer"
)

// Register registers the methods by which other daemons follow this one.
func (s *Store) Register(server *peer.Server) {
	server.Register(peer.MethodFeedList, s.serveList)
	server.Register(peer.MethodFeedWatch, s.serveWatch)
}

// servable returns the replica of a kind, or nil if the kind isn't passed on or the external
// store is unavailable.
func (s *Store) servable(kind string) *replica {
	if s.options.StoreUnavailable() {
		return nil
	}
	return s.replicas[kind]
}

func (s *Store) serveList(_ context.Context, params json.RawMessage) (any, error) {
	var request peer.FeedRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}
	local := s.servable(request.Kind)
	if local == nil {
		return peer.FeedObjects{Unavailable: true}, nil
	}
	objects, at, direct := local.list()
	response := peer.FeedObjects{Revision: at.Revision, Epoch: at.Epoch, AgeMillis: local.age(time.Now()).Milliseconds(), Unavailable: !direct}
	for _, object := range objects {
		response.Objects = append(response.Objects, peer.FeedObject{Name: object.Name, Spec: object.Spec, Revision: object.Revision})
	}
	return response, nil
}

func (s *Store) serveWatch(_ context.Context, params json.RawMessage) (any, error) {
	var request peer.FeedRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}
	local := s.servable(request.Kind)
	if local == nil {
		return peer.FeedChanges{Unavailable: true}, nil
	}
	result := local.watch(feed.Position{Epoch: request.Epoch, Revision: request.After}, watchWait)
	// The external store may have become unavailable during the wait.
	response := peer.FeedChanges{
		Revision:    result.at.Revision,
		AgeMillis:   local.age(time.Now()).Milliseconds(),
		Unavailable: result.unavailable || s.options.StoreUnavailable(),
		Gone:        result.gone,
	}
	for _, event := range result.events {
		changed := peer.FeedObject{Name: event.Object.Name, Deleted: event.Deleted, Revision: event.Object.Revision}
		if !event.Deleted {
			changed.Spec = event.Object.Spec
		}
		response.Changes = append(response.Changes, changed)
	}
	return response, nil
}
