package daemon

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/idempotency"
	"github.com/poplarwheel/poplarwheel/internal/membership"
	"github.com/poplarwheel/poplarwheel/internal/proxy"
)

// Paths of the admin port.
const (
	// PathDump returns the daemon's state as JSON.
	PathDump = "/v1/dump"
	// PathReady returns 200 once a configuration is in force.
	PathReady = "/v1/ready"
)

// Dump is the state of a daemon.
type Dump struct {
	Name        string              `json:"name"`
	Zone        string              `json:"zone"`
	Incarnation string              `json:"incarnation"`
	Started     time.Time           `json:"started"`
	Revision    uint64              `json:"revision"`
	InFlight    int64               `json:"in_flight"`
	Members     []membership.Member `json:"members"`
	Targets     []proxy.TargetState `json:"targets"`
	Measuring   proxy.Measuring     `json:"measuring"`

	Records idempotency.RecorderState `json:"records"`
}

func (d *Daemon) serveAdmin(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case PathDump:
		d.serveDump(ctx)
	case PathReady:
		if d.snapshot.Load().Revision == 0 {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// Dump returns the daemon's state.
func (d *Daemon) Dump() Dump {
	d.membersMu.Lock()
	members := d.members.Members()
	d.membersMu.Unlock()
	return Dump{
		Name:        d.settings.Name,
		Zone:        d.settings.Zone,
		Incarnation: d.incarnation,
		Started:     d.started,
		Revision:    d.snapshot.Load().Revision,
		InFlight:    d.callers.InFlight(),
		Members:     members,
		Targets:     d.proxy.Targets(),
		Measuring:   d.proxy.Measuring(),
		Records:     d.once.recorder.State(),
	}
}

func (d *Daemon) serveDump(ctx *fasthttp.RequestCtx) {
	body, err := json.MarshalIndent(d.Dump(), "", "  ")
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
