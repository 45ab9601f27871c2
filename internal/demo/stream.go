package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/poplarwheel/poplarwheel/client"
	"github.com/poplarwheel/poplarwheel/internal/load"
	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
	"github.com/poplarwheel/poplarwheel/internal/settings"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
)

const (
	// readsPerSecond is the rate of each idempotent request type.
	readsPerSecond = 25
	// writesPerSecond is the rate of each non-idempotent request type.
	writesPerSecond = 8
	// maxInFlight bounds the requests in flight of each request type.
	maxInFlight = 256
	// serveFor is the longest time of a demo that serves until interrupted.
	serveFor = 24 * time.Hour
)

// writeResends bound the resends of a non-idempotent request.
var writeResends = client.Resends{Max: 4, Pause: 50 * time.Millisecond}

// stream sends requests of one type.
type stream struct {
	service  string
	request  questionnaire.Request
	caller   *client.Client
	recorder *load.Recorder
	ledger   *ledger
	seed     uint64
}

func newStreams(d *deployment, seed uint64) []*stream {
	var streams []*stream
	for _, service := range d.answers.Services {
		for _, request := range service.Requests {
			streams = append(streams, &stream{
				service:  service.Name,
				request:  request,
				caller:   client.New(client.Options{Bootstrap: d.bootstrap(), Service: service.Name}),
				recorder: load.NewRecorder(),
				ledger:   newLedger(),
				seed:     seed + uint64(len(streams)),
			})
		}
	}
	return streams
}

// bootstrap returns the caller addresses of all entry VMs.
func (d *deployment) bootstrap() []string { return d.addresses((*settings.Settings).CallerAddress) }

// addresses returns one address of each entry VM.
func (d *deployment) addresses(of func(*settings.Settings) string) []string {
	addresses := make([]string, len(d.entries))
	for i, entry := range d.entries {
		addresses[i] = of(entry.settings)
	}
	return addresses
}

func (s *stream) idempotent() bool { return s.request.IfDoubled == questionnaire.HarmNone }

func (s *stream) within() time.Duration { return time.Duration(s.request.AgreedMs) * time.Millisecond }

// run sends requests until the end of the demo.
func (s *stream) run(ctx context.Context, options Options) {
	plan := load.Options{
		PerSecond:   writesPerSecond,
		Duration:    options.Duration,
		Arrivals:    load.Poisson,
		Within:      s.within(),
		MaxInFlight: maxInFlight,
		Seed:        s.seed,
	}
	if s.idempotent() {
		plan.PerSecond = readsPerSecond
	}
	if options.Serve {
		plan.Duration = serveFor
	}
	load.Run(ctx, plan, s.recorder, s.send)
}

// send sends one request. It isn't canceled at the end of the demo, so that every
// outcome becomes known.
func (s *stream) send(_ context.Context, n uint64) load.Result {
	request := client.Request{
		Type:    s.request.Name,
		Path:    "/" + s.request.Name,
		Body:    fmt.Appendf(nil, "%s %s %d", s.service, s.request.Name, n),
		Timeout: s.within(),
	}
	if s.idempotent() {
		answer, err := s.caller.Do(request)
		s.ledger.cut(err)
		return s.result(request, answer)
	}
	return s.write(request)
}

func (s *stream) write(request client.Request) load.Result {
	key, err := s.caller.NewKey()
	if err != nil {
		return load.Result{Outcome: client.NotRun}
	}
	request.Key = key
	answer, err := s.caller.DoUntilRan(context.Background(), request, writeResends)
	s.ledger.cut(err)
	s.ledger.record(key, answer.Outcome)
	return s.result(request, answer)
}

func (s *stream) result(request client.Request, answer client.Answer) load.Result {
	var decoded targetd.Answer
	own := json.Unmarshal(answer.Body, &decoded) == nil &&
		decoded.Echo == string(request.Body) &&
		decoded.Path == request.Path &&
		decoded.Key == request.Key
	return load.Result{
		Outcome: answer.Outcome,
		Reason:  answer.Reason,
		Correct: answer.Outcome == client.Ran && own,
		Resends: answer.Resends,
	}
}
