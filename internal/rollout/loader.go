package rollout

import (
	"context"

	"golang.org/x/time/rate"

	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/platform"
)

const (
	// bodyReadsPerSecond bounds a daemon's reads of bodies from the platform.
	bodyReadsPerSecond = 60
	// bodyReadBurst is the number of bodies read without a pause.
	bodyReadBurst = 4
	// peerBatch is the number of missing bodies from which peers are asked first.
	peerBatch = 8
)

// Peers reads heads and bodies from other daemons.
type Peers interface {
	// Head returns the head object in force at a peer, with its platform
	// version.
	Head(peer string) (value []byte, version platform.Version, err error)
	// Bodies returns stored bodies that a peer has, keyed by service. Bodies may
	// be missing from the result.
	Bodies(peer string, refs []ServiceRef) (map[string][]byte, error)
}

// loader fetches the bodies that a daemon lacks.
type loader struct {
	store   platform.Store
	peers   Peers
	limiter *rate.Limiter
	// fetched keeps bodies, by key, of loads that failed half-way.
	fetched map[string]*Body
}

func newLoader(store platform.Store, peers Peers) *loader {
	return &loader{
		store:   store,
		peers:   peers,
		limiter: rate.NewLimiter(bodyReadsPerSecond, bodyReadBurst),
		fetched: map[string]*Body{},
	}
}

// load returns the bodies of head. From lists the peers to ask, best first;
// fromPlatform tells whether the platform gave the head.
func (l *loader) load(head Head, current *Applied, from []string, fromPlatform bool) (map[string]*Body, error) {
	bodies := make(map[string]*Body, len(head.Services))
	missing := l.collect(head.Services, current, bodies)
	if !fromPlatform || len(missing) >= peerBatch {
		for _, peer := range from {
			missing = l.fromPeer(peer, missing, bodies)
		}
	}
	if err := l.loadRest(missing, from, bodies); err != nil {
		return nil, err
	}
	l.fetched = map[string]*Body{}
	return bodies, nil
}

// loadRest reads bodies from the platform, and from peers once it fails.
func (l *loader) loadRest(missing []ServiceRef, from []string, bodies map[string]*Body) error {
	for i, ref := range missing {
		body, err := l.fromPlatform(ref)
		if err != nil {
			return l.lastResort(missing[i:], from, bodies, err)
		}
		bodies[ref.Name] = body
	}
	return nil
}

// lastResort asks peers for what the platform failed to give.
func (l *loader) lastResort(missing []ServiceRef, from []string, bodies map[string]*Body, cause error) error {
	for _, peer := range from {
		missing = l.fromPeer(peer, missing, bodies)
	}
	if len(missing) > 0 {
		return cause
	}
	return nil
}

// collect takes what is at hand and returns the rest.
func (l *loader) collect(refs []ServiceRef, current *Applied, bodies map[string]*Body) []ServiceRef {
	var missing []ServiceRef
	for _, ref := range refs {
		if body := current.Body(ref); body != nil {
			bodies[ref.Name] = body
		} else if body := l.fetched[BodyKey(ref)]; body != nil {
			bodies[ref.Name] = body
		} else {
			missing = append(missing, ref)
		}
	}
	return missing
}

func (l *loader) fromPeer(peer string, missing []ServiceRef, bodies map[string]*Body) []ServiceRef {
	for len(missing) > 0 {
		encoded, err := l.peers.Bodies(peer, missing)
		if err != nil || len(encoded) == 0 {
			return missing
		}
		rest := l.keep(encoded, missing, bodies)
		if len(rest) == len(missing) {
			return rest
		}
		missing = rest
	}
	return nil
}

// keep takes the usable ones of encoded and returns the references without one.
func (l *loader) keep(encoded map[string][]byte, missing []ServiceRef, bodies map[string]*Body) []ServiceRef {
	var rest []ServiceRef
	for _, ref := range missing {
		body, err := parseBody(ref, encoded[ref.Name])
		if err != nil {
			rest = append(rest, ref)
			continue
		}
		l.fetched[BodyKey(ref)] = body
		bodies[ref.Name] = body
	}
	return rest
}

func (l *loader) fromPlatform(ref ServiceRef) (*Body, error) {
	if err := l.limiter.Wait(context.Background()); err != nil {
		return nil, err
	}
	object, err := l.store.Get(BodyKey(ref))
	if err != nil {
		return nil, err
	}
	body, err := parseBody(ref, object.Value)
	if err == nil {
		l.fetched[BodyKey(ref)] = body
	}
	return body, err
}

// parseBody checks a body against its reference. The error is a *CorruptError or
// a *MissingBodyError.
func parseBody(ref ServiceRef, encoded []byte) (*Body, error) {
	if len(encoded) == 0 {
		return nil, &MissingBodyError{Key: BodyKey(ref)}
	}
	if have := config.Hash(encoded); have != ref.Hash {
		return nil, &CorruptError{Key: BodyKey(ref), Cause: &HashMismatchError{Want: ref.Hash, Have: have}}
	}
	service, err := config.ParseService(encoded)
	if err != nil {
		return nil, &CorruptError{Key: BodyKey(ref), Cause: err}
	}
	return &Body{Service: service, Encoded: encoded}, nil
}
