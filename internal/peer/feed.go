package peer

import "encoding/json"

// Methods by which a daemon follows what another one of its zone reads off the outside
// store.
const (
	// MethodFeedList carries a FeedRequest and is answered by FeedObjects.
	MethodFeedList = "feed.list"
	// MethodFeedWatch carries a FeedRequest and is answered by FeedChanges: at once if
	// there are changes after the revision, otherwise after a wait.
	MethodFeedWatch = "feed.watch"
)

// FeedRequest asks for objects of a kind.
type FeedRequest struct {
	Kind string `json:"kind"`
	// After is the revision that the sender has, Epoch the epoch to which it belongs.
	After uint64 `json:"after,omitempty"`
	Epoch uint64 `json:"epoch,omitempty"`
}

// FeedObject is an object of the store.
type FeedObject struct {
	Name string `json:"name"`
	// Spec is its content; a removed object has none.
	Spec    json.RawMessage `json:"spec,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
	// Revision is that of its last change, 0 if that isn't known.
	Revision uint64 `json:"revision,omitempty"`
}

// FeedObjects are all objects of a kind at a revision of an epoch.
type FeedObjects struct {
	Objects  []FeedObject `json:"objects"`
	Revision uint64       `json:"revision"`
	Epoch    uint64       `json:"epoch,omitempty"`
	// AgeMillis is how long ago the store last showed that there is no later change.
	AgeMillis int64 `json:"age_ms"`
	// Unavailable is set if the receiver doesn't follow the store itself, or can't.
	Unavailable bool `json:"unavailable,omitempty"`
}

// FeedChanges are the changes of a kind up to a revision of the requested epoch.
type FeedChanges struct {
	Changes  []FeedObject `json:"changes"`
	Revision uint64       `json:"revision"`
	// AgeMillis is how long ago the store last showed that there is no later change.
	AgeMillis int64 `json:"age_ms"`
	// Unavailable is set if the receiver doesn't follow the store itself, or can't.
	Unavailable bool `json:"unavailable,omitempty"`
	// Gone is set if the receiver has forgotten changes after the revision asked for, or
	// follows a later epoch.
	Gone bool `json:"gone,omitempty"`
}
