package platformd

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/platform"
)

const testTimeout = 5 * time.Second

func start(t *testing.T) (*Server, *platform.Client) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := NewServer()
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return server, platform.NewClient(listener.Addr().String(), testTimeout)
}

func status(err error) int {
	var refused *platform.StatusError
	if errors.As(err, &refused) {
		return refused.Status
	}
	return 0
}

func TestRatesAreLimited(t *testing.T) {
	server, client := start(t)
	server.SetFaults(Faults{ReadsPerSecond: 1, WritesPerSecond: 1})
	version, err := client.Create("a", []byte("1"))
	require.NoError(t, err)
	_, err = client.Update("a", version, []byte("2"))
	require.Equal(t, fasthttp.StatusTooManyRequests, status(err))
	var refused *platform.UnavailableError
	require.ErrorAs(t, err, &refused)
	require.False(t, refused.MayHaveApplied)
	_, err = client.Get("a")
	require.NoError(t, err)
	_, err = client.Get("a")
	require.Equal(t, fasthttp.StatusTooManyRequests, status(err))
	require.Equal(t, uint64(1), server.Counts().LimitedWrites)
	require.Equal(t, uint64(1), server.Counts().LimitedReads)
}

func TestBrokenWatchHasNoAnswer(t *testing.T) {
	server, client := start(t)
	_, err := client.Create("a", []byte("1"))
	require.NoError(t, err)
	server.SetFaults(Faults{BreakWatches: true})
	_, err = client.Watch("a", 0, time.Second)
	require.Error(t, err)
}

func TestSilentWatchMissesChange(t *testing.T) {
	server, client := start(t)
	_, err := client.Create("a", []byte("1"))
	require.NoError(t, err)
	server.SetFaults(Faults{SilentWatches: true})
	object, err := client.Watch("a", 0, 10*time.Millisecond)
	require.NoError(t, err)
	require.Zero(t, object.Version)
}

func TestListLags(t *testing.T) {
	server, client := start(t)
	server.SetFaults(Faults{ListLagMs: 200})
	server.Store().SetVM(platform.VM{Name: "entry-0"})
	list, err := client.VMs(0, time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, list.VMs)
	list, err = client.VMs(0, testTimeout)
	require.NoError(t, err)
	require.Len(t, list.VMs, 1)
}

func TestShareOfAnswersIsLost(t *testing.T) {
	server, client := start(t)
	server.SetFaults(Faults{LoseWriteShare: 1, Seed: 1})
	_, err := client.Create("a", []byte("1"))
	var lost *platform.UnavailableError
	require.ErrorAs(t, err, &lost)
	require.True(t, lost.MayHaveApplied)
	_, err = client.Get("a")
	require.NoError(t, err)
}

func TestFlappingAlternates(t *testing.T) {
	begin := time.Unix(100, 0)
	faults := newFaultState(Faults{FlapUpMs: 300, FlapDownMs: 700}, begin)
	require.False(t, faults.down(begin))
	require.True(t, faults.down(begin.Add(300*time.Millisecond)))
	require.False(t, faults.down(begin.Add(time.Second)))
}
