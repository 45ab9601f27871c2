package rollout

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/platform"
)

// beforeHead calls a function before the head is created.
type beforeHead struct {
	platform.Store
	call func()
}

func (s beforeHead) Create(key string, value []byte) (platform.Version, error) {
	if key == HeadKey {
		s.call()
	}
	return s.Store.Create(key, value)
}

// refusing refuses the bodies of one service.
type refusing struct {
	platform.Store
	service string
}

func (s refusing) Create(key string, value []byte) (platform.Version, error) {
	if strings.HasPrefix(key, "config/services/"+s.service+"/") {
		return 0, &platform.TooLargeError{Key: key, Size: len(value)}
	}
	return s.Store.Create(key, value)
}

// An operator sends an acceptance again while the first try is under way, and the
// second one fails half-way: what it cleans up is not the first one's.
func TestFailedResendLeavesTheBodiesOfTheFirstTry(t *testing.T) {
	_, store := startPlatform(t)
	change := Acceptance{ID: "1", Services: []*config.Service{service("stock", 2), service("bookings", 2)}}
	resend := func() {
		_, err := Accept(refusing{Store: store, service: "bookings"}, change)
		var tooLarge *platform.TooLargeError
		require.ErrorAs(t, err, &tooLarge)
	}
	revision, err := Accept(beforeHead{Store: store, call: resend}, change)
	require.NoError(t, err)
	require.Equal(t, uint64(1), revision)
	accepted, err := Read(store)
	require.NoError(t, err)
	require.Len(t, accepted.Bodies, 2)
}

func TestReadFromReadsOnlyWhatChanged(t *testing.T) {
	server, store := startPlatform(t)
	_, err := acceptLatest(store, "1", service("stock", 1))
	require.NoError(t, err)
	_, err = acceptLatest(store, "2", service("bookings", 1))
	require.NoError(t, err)
	known, err := Read(store)
	require.NoError(t, err)
	_, err = acceptLatest(store, "3", service("stock", 2))
	require.NoError(t, err)
	before := server.Counts().Reads
	next, err := ReadFrom(store, known, 1)
	require.NoError(t, err)
	require.Equal(t, uint64(3), next.Head.Revision)
	require.Same(t, known.Bodies["bookings"], next.Bodies["bookings"])
	require.Equal(t, before+2, server.Counts().Reads, "the head and one body")
	same, err := ReadFrom(store, next, 0)
	require.NoError(t, err)
	require.Same(t, next, same)
	_, err = ReadFrom(store, NewApplied(), 1)
	var behind *BehindError
	require.ErrorAs(t, err, &behind)
	require.Equal(t, BehindError{Revision: 3, Missing: 2}, *behind)
}
