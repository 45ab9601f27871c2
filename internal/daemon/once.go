package daemon

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/idempotency"
	"github.com/poplarwheel/poplarwheel/internal/membership"
	"github.com/poplarwheel/poplarwheel/internal/peer"
)

const (
	// recordOutcomeDelay is how long an outcome waits to share a write.
	recordOutcomeDelay = 100 * time.Millisecond
	// recordRetryDelay is the pause after a failed call to the platform.
	recordRetryDelay = 20 * time.Millisecond
	// recordMaxKeys bounds the keys of a record object.
	recordMaxKeys = 1024
	// recordSoftKeys is where new tokens turn to the next object.
	recordSoftKeys = 256
	// recordAnswerBytes bounds an answer in a record object.
	recordAnswerBytes = 4 << 10
	// recordAnswersBytes bounds the answers in a record object together.
	recordAnswersBytes = 128 << 10
	// recordRotateAfter is how long new tokens name the same object.
	recordRotateAfter = time.Minute
	// recordDrainLimit bounds the wait for the last outcomes at shutdown.
	recordDrainLimit = 2 * time.Second
	// askMargin is taken from the wait for another daemon's outcome, so that its
	// answer arrives in time.
	askMargin = 20 * time.Millisecond
)

// once holds the parts that keep non-idempotent requests from running twice.
type once struct {
	guard    *idempotency.Guard
	recorder *idempotency.Recorder
	rates    *idempotency.Rates
}

func (d *Daemon) newOnce() once {
	self := idempotency.Owner{Incarnation: d.incarnation, VM: d.settings.Name}
	rates := idempotency.NewRates(float64(d.settings.RecordWritesPerSecond), float64(d.settings.RecordReadsPerSecond))
	recorder := idempotency.NewRecorder(idempotency.RecorderOptions{
		Self:  self,
		Store: d.store,
		Rates: rates,
		Ask:   d.askOutcome,
		Limits: idempotency.Limits{
			GroupInterval:   time.Duration(d.settings.RecordGroupMs) * time.Millisecond,
			OutcomeDelay:    recordOutcomeDelay,
			RetryDelay:      recordRetryDelay,
			MaxKeys:         recordMaxKeys,
			MaxAnswerBytes:  recordAnswerBytes,
			MaxAnswersBytes: recordAnswersBytes,
		},
		Pool: idempotency.PoolLimits{
			Slots:       d.settings.RecordSlots,
			RotateAfter: recordRotateAfter,
			SoftKeys:    recordSoftKeys,
		},
		Log: d.log,
	})
	return once{guard: idempotency.NewGuard(time.Now(), self, recorder), recorder: recorder, rates: rates}
}

// startOnce registers with the parts that newOnce couldn't know.
func (d *Daemon) startOnce() {
	d.proxy.SetLocator(d.locate)
	d.peers.Register(peer.MethodOutcome, d.serveOutcome)
	d.observeOnce()
}

// observeOnce adds the metrics of the records.
func (d *Daemon) observeOnce() {
	registry := d.observed.metrics
	state := d.once.recorder.State
	registry.Gauge("record_tokens_ready", "1 while new tokens can be recorded ones.", func() float64 {
		if state().Ready {
			return 1
		}
		return 0
	})
	registry.Gauge("records_held", "Record objects in memory.", func() float64 { return float64(state().Records) })
	registry.Counter("record_writes_total", "Group writes to record objects.", func() float64 { return float64(state().Groups) })
	registry.Counter("record_written_bytes_total", "Bytes of record objects in group writes and claims.", func() float64 { return float64(state().WrittenBytes) })
	registry.Counter("record_claims_total", "Record objects made ready for new tokens.", func() float64 { return float64(state().Claims) })
	registry.Counter("record_conflicts_total", "Group writes that found a newer version.", func() float64 { return float64(state().Conflicts) })
	registry.Counter("record_lost_answers_total", "Group writes whose answer was lost.", func() float64 { return float64(state().Uncertain) })
}

// applyOnce takes a configuration that comes into force.
func (d *Daemon) applyOnce(snapshot *config.Snapshot) {
	wanted := false
	for _, service := range snapshot.Services {
		wanted = wanted || recorded(service)
	}
	d.once.recorder.SetWanted(wanted)
}

// recorded reports whether any request type of the service needs records.
func recorded(service *config.Service) bool {
	for i := range service.RequestTypes {
		if service.RequestTypes[i].Recorded {
			return true
		}
	}
	return false
}

func (d *Daemon) member(name string) (membership.Member, bool) {
	for _, member := range d.members.list() {
		if member.Name == name {
			return member, true
		}
	}
	return membership.Member{}, false
}

// locate implements proxy.Locator.
func (d *Daemon) locate(owner idempotency.Owner) (string, bool) {
	member, ok := d.member(owner.VM)
	if !ok || member.State == membership.Dead {
		return "", false
	}
	return net.JoinHostPort(member.IP, strconv.Itoa(d.settings.CallerPort)), true
}

// askOutcome implements idempotency.OutcomeSource.
func (d *Daemon) askOutcome(owner idempotency.Owner, key idempotency.Key, answerBy time.Time) idempotency.Outcome {
	unsure := idempotency.Outcome{Status: idempotency.Unsure}
	member, ok := d.member(owner.VM)
	if !ok {
		return unsure
	}
	ctx, cancel := context.WithDeadline(context.Background(), answerBy)
	defer cancel()
	request := peer.OutcomeRequest{
		Incarnation: owner.Incarnation,
		Key:         key.String(),
		WaitMs:      (time.Until(answerBy) - askMargin).Milliseconds(),
	}
	var outcome idempotency.Outcome
	address := net.JoinHostPort(member.IP, strconv.Itoa(d.settings.PeerPort))
	if err := d.peerClient.Call(ctx, address, peer.MethodOutcome, request, &outcome); err != nil || outcome.Status == idempotency.Running {
		return unsure
	}
	return outcome
}

// serveOutcome answers peer.MethodOutcome.
func (d *Daemon) serveOutcome(_ context.Context, params json.RawMessage) (any, error) {
	var request peer.OutcomeRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}
	unsure := idempotency.Outcome{Status: idempotency.Unsure}
	key, err := idempotency.ParseKey(request.Key)
	if err != nil || request.Incarnation != d.incarnation {
		return unsure, nil
	}
	decided := make(chan idempotency.Outcome, 1)
	d.once.recorder.Query(time.Now(), key, func(decision idempotency.Decision) { decided <- decision.Outcome })
	timer := time.NewTimer(time.Duration(request.WaitMs) * time.Millisecond)
	defer timer.Stop()
	select {
	case outcome := <-decided:
		return outcome, nil
	case <-timer.C:
		return unsure, nil
	}
}
