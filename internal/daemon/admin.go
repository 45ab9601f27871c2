package daemon

import (
	"bufio"
	"io"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	jsonv1 "github.com/go-json-experiment/json/v1"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/idempotency"
	"github.com/poplarwheel/poplarwheel/internal/membership"
	"github.com/poplarwheel/poplarwheel/internal/peer"
	"github.com/poplarwheel/poplarwheel/internal/proxy"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
)

// Paths of the admin port.
const (
	// PathDump returns the daemon's state as JSON.
	PathDump = "/v1/dump"
	// PathMetrics returns the metrics in Prometheus' text format.
	PathMetrics = "/metrics"
	// PathReady returns a Ready, with status 200 once a configuration is in force.
	PathReady = "/v1/ready"
)

// Dump is the state of a daemon.
type Dump struct {
	Name          string               `json:"name"`
	Zone          string               `json:"zone"`
	Incarnation   string               `json:"incarnation"`
	Started       time.Time            `json:"started"`
	Revision      uint64               `json:"revision"`
	InFlight      int64                `json:"in_flight"`
	Members       []membership.Member  `json:"members"`
	Targets       []proxy.TargetState  `json:"targets"`
	Configuration rollout.Status       `json:"configuration"`
	Peers         PeerStatus           `json:"peers"`
	Measuring     proxy.MeasuringCosts `json:"measuring"`

	Records idempotency.RecorderState `json:"records"`
	// Quarantine holds the contents that were at a target when it died.
	Quarantine []quarantine.Suspect `json:"quarantine"`
	// Sections hold the state of parts by name, see AddDumpSection.
	Sections map[string]any `json:"sections"`
}

// PeerStatus is the state of the inner protocol.
type PeerStatus struct {
	peer.TrafficCounts
	// Refused counts connections that didn't prove the shared key.
	Refused uint64 `json:"refused"`
	// Suspicions counts members that this daemon suspected.
	Suspicions uint64 `json:"suspicions"`
	// Refutations counts wrong records of this daemon that it contradicted.
	Refutations uint64 `json:"refutations"`
}

func (d *Daemon) peerStatus() PeerStatus {
	suspicions, refutations := d.members.counters()
	return PeerStatus{
		TrafficCounts: d.peers.Traffic().Add(d.peerClient.Traffic()),
		Refused:       d.peers.Refused(),
		Suspicions:    suspicions,
		Refutations:   refutations,
	}
}

func (d *Daemon) serveAdmin(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case PathDump:
		d.serveDump(ctx)
	case PathMetrics:
		d.observed.serveMetrics(ctx)
	case PathReady:
		d.serveReady(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// Ready is the answer of PathReady.
type Ready struct {
	// Revision is the configuration revision in force; 0 means none.
	Revision uint64 `json:"revision"`
}

func (d *Daemon) serveReady(ctx *fasthttp.RequestCtx) {
	ready := Ready{Revision: d.snapshot.Load().Revision}
	if ready.Revision == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	body, err := json.Marshal(ready)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// Dump returns the daemon's state.
func (d *Daemon) Dump() Dump {
	return Dump{
		Name:          d.settings.Name,
		Zone:          d.settings.Zone,
		Incarnation:   d.incarnation,
		Started:       d.started,
		Revision:      d.snapshot.Load().Revision,
		InFlight:      d.callers.InFlight(),
		Members:       d.members.list(),
		Configuration: d.follower.Status(),
		Peers:         d.peerStatus(),
		Targets:       d.proxy.Targets(),
		Measuring:     d.proxy.MeasuringCosts(),
		Records:       d.once.recorder.State(),
		Quarantine:    d.quarantine.Suspects(time.Now()),
		Sections:      d.dumpSections(),
	}
}

// serveDump writes the dump as it is encoded, so that a large one takes little
// memory.
func (d *Daemon) serveDump(ctx *fasthttp.RequestCtx) {
	dump := d.Dump()
	ctx.SetContentType("application/json")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		if err := writeDump(w, &dump); err != nil {
			d.log.WithError(err).Warn("dump not written")
		}
	})
}

// writeDump writes a dump in the form of encoding/json.
func writeDump(w io.Writer, dump *Dump) error {
	return json.MarshalWrite(w, dump, jsonv1.DefaultOptionsV1(), jsontext.WithIndent("  "))
}
