package regions

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/client"
	"github.com/poplarwheel/poplarwheel/internal/daemon"
	"github.com/poplarwheel/poplarwheel/internal/loopback"
	"github.com/poplarwheel/poplarwheel/internal/membership"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
	"github.com/poplarwheel/poplarwheel/internal/settings"
	"github.com/poplarwheel/poplarwheel/internal/standin/platformd"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
)

const (
	// home has the platform, away doesn't.
	home = "home"
	away = "away"

	daemonsPerRegion = 3
	targetsPerRegion = 5
	// cutLength is the length of the cut.
	cutLength = 8 * time.Second
	// inForce is the time within which an accepted configuration is in force.
	inForce = 13 * time.Second
	// agreed is the agreed time of every request.
	agreed = 5 * time.Second
)

var regions = []string{home, away}

// system is two regions of entry daemons and targets.
type system struct {
	t       *testing.T
	subnet  *loopback.Subnet
	network *network
	store   platform.Store
	list    *platformd.Store
	daemons map[string][]*daemon.Daemon
	entries map[string][]string
	servers []questionnaire.Server
	targets map[string][]*targetd.Target
	journal journal
	// running are the daemons until stop is called.
	running sync.WaitGroup
	stop    context.CancelFunc
	ctx     context.Context
}

// journal keeps what all targets ran.
type journal struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// Write implements io.Writer.
func (j *journal) Write(line []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.lines.Write(line)
}

// events returns what the targets ran so far.
func (j *journal) events(t *testing.T) []targetd.Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	var events []targetd.Event
	decoder := json.NewDecoder(bytes.NewReader(j.lines.Bytes()))
	for decoder.More() {
		var event targetd.Event
		require.NoError(t, decoder.Decode(&event))
		events = append(events, event)
	}
	return events
}

// began returns how often each idempotency key began to run.
func (j *journal) began(t *testing.T) map[string]int {
	began := map[string]int{}
	for _, event := range j.events(t) {
		if event.Kind == targetd.EventBegan && event.Key != "" {
			began[event.Key]++
		}
	}
	return began
}

func start(t *testing.T) *system {
	t.Helper()
	subnet, err := loopback.Reserve()
	require.NoError(t, err)
	t.Cleanup(func() { _ = subnet.Release() })
	s := &system{t: t, subnet: subnet, daemons: map[string][]*daemon.Daemon{}, entries: map[string][]string{}, targets: map[string][]*targetd.Target{}}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.network = startNetwork(t, subnet.Host(3)+":7000")
	s.startPlatform()
	for i, region := range regions {
		s.startTargets(region, 100+10*i)
		s.startDaemons(region, 10+10*i)
	}
	t.Cleanup(func() {
		s.stop()
		s.running.Wait()
	})
	return s
}

func (s *system) listen(address string) net.Listener {
	s.t.Helper()
	listener, err := net.Listen("tcp", address)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// platformOf is the platform's address as a region sees it.
func (s *system) platformOf(region string) string {
	if region == home {
		return s.subnet.Host(1) + ":7000"
	}
	return s.subnet.Host(2) + ":7000"
}

func (s *system) startPlatform() {
	server := platformd.NewServer()
	near, far := s.listen(s.platformOf(home)), s.listen(s.platformOf(away))
	go func() { _ = server.Serve(near) }()
	s.t.Cleanup(func() { _ = server.Close() })
	go s.network.serve(far, s.platformOf(home))
	s.list = server.Store()
	s.store = platform.NewClient(s.platformOf(home), time.Second)
}

func (s *system) startTargets(region string, host int) {
	for i := range targetsPerRegion {
		name, ip := fmt.Sprintf("stock-%s-%d", region, i), s.subnet.Host(host+i)
		target := targetd.New(targetd.Options{Name: name, Slots: 3, MeanService: 2 * time.Millisecond, Seed: uint64(host + i), Journal: &s.journal})
		listener := s.listen(ip + ":8000")
		go func() { _ = target.Serve(listener) }()
		s.t.Cleanup(func() { _ = target.Close() })
		s.network.place(ip, region)
		s.targets[region] = append(s.targets[region], target)
		s.servers = append(s.servers, questionnaire.Server{Name: name, IP: ip, Port: 8000, Zone: region + "-a", Region: region})
	}
}

func (s *system) startDaemons(region string, host int) {
	for i := range daemonsPerRegion {
		own := settings.Default()
		own.Name = fmt.Sprintf("entry-%s-%d", region, i)
		own.IP = s.subnet.Host(host + i)
		own.Region, own.Zone = region, fmt.Sprintf("%s-%d", region, i)
		own.Platform = s.platformOf(region)
		own.PeerKey = "key of the regions' test"
		own.KeepSeconds = 1
		own.EventLoops = 1
		s.network.place(own.IP, region)
		s.list.SetVM(platform.VM{Name: own.Name, IP: own.IP, Region: region, Zone: own.Zone, Role: platform.RoleEntry, State: platform.VMLive})
		s.run(own)
	}
}

func (s *system) run(own *settings.Settings) {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	d := daemon.New(own, log)
	d.SetDial(s.network.dialFrom(own.Region))
	s.running.Go(func() { _ = d.Run(s.ctx) })
	s.daemons[own.Region] = append(s.daemons[own.Region], d)
	s.entries[own.Region] = append(s.entries[own.Region], own.CallerAddress())
}

func (s *system) accept(by string) uint64 {
	s.t.Helper()
	proposal, err := questionnaire.Propose(&questionnaire.Answers{Team: "swanbrook", Services: []questionnaire.Service{{
		Name: "stock", Priority: questionnaire.PriorityCost, TypicalMs: 5, SlotsPerServer: 3, ConnectionsPerServer: 200, Servers: s.servers,
		Requests: []questionnaire.Request{
			{Name: "availability", AgreedMs: int(agreed.Milliseconds()), IfLate: questionnaire.HarmGrave, IfLost: questionnaire.HarmMinor, IfDoubled: questionnaire.HarmNone},
			{Name: "book", AgreedMs: int(agreed.Milliseconds()), IfLate: questionnaire.HarmMinor, IfLost: questionnaire.HarmGrave, IfDoubled: questionnaire.HarmGrave},
		},
	}}})
	require.NoError(s.t, err)
	revision, err := rollout.AcceptOnLatest(s.store, proposal.Services, by)
	require.NoError(s.t, err)
	return revision
}

// awaitRevision waits until all daemons of the regions have a revision.
func (s *system) awaitRevision(revision uint64, of ...string) {
	s.t.Helper()
	for _, region := range of {
		for _, d := range s.daemons[region] {
			require.Eventually(s.t, func() bool { return d.Dump().Revision == revision }, inForce, 10*time.Millisecond)
		}
	}
}

// liveAt returns how many members a daemon sees live.
func liveAt(d *daemon.Daemon) int {
	live := 0
	for _, member := range d.Dump().Members {
		if member.State == membership.Live {
			live++
		}
	}
	return live
}

func (s *system) awaitLive(members int, of ...string) {
	s.t.Helper()
	for _, region := range of {
		for _, d := range s.daemons[region] {
			require.Eventually(s.t, func() bool { return liveAt(d) == members }, 30*time.Second, 20*time.Millisecond, "%d members at %s", members, region)
		}
	}
}

// booking is a booking with what its caller was told last.
type booking struct {
	key     string
	sends   int
	outcome client.Outcome
	reason  string
}

// load calls from inside one region.
type load struct {
	client *client.Client
	stop   context.CancelFunc
	done   sync.WaitGroup

	mu       sync.Mutex
	answered int
	slowest  time.Duration
	problems []string
	bookings []*booking
}

func (s *system) startLoad(region string) *load {
	ctx, stop := context.WithCancel(context.Background())
	l := &load{stop: stop, client: client.New(client.Options{Bootstrap: s.entries[region], Service: "stock"})}
	for range 4 {
		l.done.Go(func() { l.read(ctx) })
		l.done.Go(func() { l.book(ctx) })
	}
	return l
}

func (l *load) read(ctx context.Context) {
	for ctx.Err() == nil {
		sent := time.Now()
		answer, err := l.client.Do(client.Request{Type: "availability", Path: "/availability", Timeout: agreed})
		l.mu.Lock()
		if err != nil || answer.Outcome != client.Ran || answer.Status != 200 {
			l.problems = append(l.problems, fmt.Sprint(answer.Outcome, answer.Status, answer.Reason, err))
		}
		l.answered++
		l.slowest = max(l.slowest, time.Since(sent))
		l.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

func (l *load) book(ctx context.Context) {
	for ctx.Err() == nil {
		key, err := l.client.NewKey()
		if err != nil {
			continue
		}
		b := &booking{key: key}
		l.send(b)
		l.mu.Lock()
		l.bookings = append(l.bookings, b)
		l.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// send sends a booking once more.
func (l *load) send(b *booking) {
	answer, err := l.client.Do(client.Request{Type: "book", Path: "/book", Timeout: agreed, Key: b.key, Resend: b.sends})
	b.sends++
	b.outcome, b.reason = answer.Outcome, answer.Reason
	if err != nil {
		b.outcome, b.reason = client.Unknown, err.Error()
	}
}

// outcomes counts what callers were told last.
func (l *load) outcomes() map[client.Outcome]int {
	outcomes := map[client.Outcome]int{}
	for _, b := range l.bookings {
		outcomes[b.outcome]++
	}
	return outcomes
}

// settle resends bookings of unknown fate through another region's callers.
func (l *load) settle(other *load) {
	for _, b := range l.bookings {
		if b.outcome != client.Ran {
			other.send(b)
		}
	}
}

func (l *load) end() {
	l.stop()
	l.done.Wait()
}

// TestRegionsLoseEachOther: each region serves its own callers while they are cut
// off from each other, a configuration accepted meanwhile is in force everywhere
// after the cut, and no booking runs twice, whichever region gets its resend.
func TestRegionsLoseEachOther(t *testing.T) {
	s := start(t)
	first := s.accept("before")
	s.awaitRevision(first, regions...)
	s.awaitLive(2*daemonsPerRegion, regions...)
	loads := map[string]*load{home: s.startLoad(home), away: s.startLoad(away)}
	time.Sleep(time.Second)

	s.network.setCut(true)
	time.Sleep(cutLength / 2)
	second := s.accept("during")
	s.awaitRevision(second, home)
	s.awaitLive(daemonsPerRegion, regions...)
	time.Sleep(cutLength / 2)
	for _, d := range s.daemons[away] {
		require.Equal(t, first, d.Dump().Revision)
	}
	for region, l := range loads {
		l.end()
		t.Logf("%s: slowest read %s, bookings by the end of the cut %v", region, l.slowest, l.outcomes())
		require.Empty(t, l.problems, region)
		require.Greater(t, l.answered, 100, region)
	}

	s.network.setCut(false)
	healed := time.Now()
	s.awaitRevision(second, regions...)
	t.Logf("in force everywhere %s after the cut", time.Since(healed))
	s.awaitLive(2*daemonsPerRegion, regions...)
	t.Logf("all members live %s after the cut", time.Since(healed))
	loads[away].settle(loads[home])
	loads[home].settle(loads[away])
	s.check(loads)
}

// check compares what callers were told with what targets ran.
func (s *system) check(loads map[string]*load) {
	began := s.journal.began(s.t)
	for region, l := range loads {
		outcomes := l.outcomes()
		for _, b := range l.bookings {
			require.LessOrEqual(s.t, began[b.key], 1, "booking %s", b.key)
			if b.outcome == client.Ran {
				require.Equal(s.t, 1, began[b.key], "booking %s", b.key)
			}
			if b.outcome == client.NotRun {
				require.Zero(s.t, began[b.key], "booking %s: %s", b.key, b.reason)
			}
		}
		s.t.Logf("%s: %d reads, %d bookings, in the end %v", region, l.answered, len(l.bookings), outcomes)
		require.Greater(s.t, outcomes[client.Ran], 50)
	}
}
