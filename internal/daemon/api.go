package daemon

import (
	"context"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/admin"
	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/proxy"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
)

// apiDrainLimit bounds the wait for the administration API's requests when the
// daemon stops. An acceptance may take that long.
const apiDrainLimit = 30 * time.Second

// startAPI sets up the administration API.
func (d *Daemon) startAPI() {
	d.api = admin.New(admin.Options{
		Daemon:           apiDaemon{d},
		Store:            d.store,
		AdminTokenSHA256: d.settings.APIAdminTokenSHA256,
		Metrics:          d.observed.metrics.API,
		Log:              d.log,
	})
	d.AddDumpSection("api", func() any { return d.api.Status() })
}

// stopAPI ends the administration API. The result is closed when nothing is under
// way any more.
func (d *Daemon) stopAPI() <-chan struct{} {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.Background(), apiDrainLimit)
		defer cancel()
		if err := d.api.Shutdown(ctx); err != nil {
			d.log.WithError(err).Warn("administration API stopped with requests under way")
		}
	}()
	return stopped
}

// apiDaemon implements admin.Daemon.
type apiDaemon struct{ daemon *Daemon }

var _ admin.Daemon = apiDaemon{}

// InForce implements admin.Daemon.
func (a apiDaemon) InForce() *rollout.Applied { return a.daemon.follower.Applied() }

// Targets implements admin.Daemon.
func (a apiDaemon) Targets() []proxy.TargetState { return a.daemon.proxy.Targets() }

// Suspects implements admin.Daemon.
func (a apiDaemon) Suspects() []quarantine.Suspect { return a.daemon.quarantine.Suspects(time.Now()) }

// Lift implements admin.Daemon.
func (a apiDaemon) Lift(content quarantine.Content) adminapi.LiftReply {
	return a.daemon.LiftQuarantine(content)
}

// Dump implements admin.Daemon.
func (a apiDaemon) Dump() any { return a.daemon.Dump() }
