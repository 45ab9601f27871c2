package gatewayd

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/poplarwheel/poplarwheel/internal/gateway"
	"github.com/poplarwheel/poplarwheel/internal/heartbeat"
	"github.com/poplarwheel/poplarwheel/internal/invariant"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
)

// Paths of the admin port.
const (
	// PathDump is the path of the state dump, a Dump as JSON.
	PathDump = "/v1/dump"
	// PathMetrics is the path of the metrics in Prometheus text format.
	PathMetrics = "/metrics"
)

// adminTimeout bounds the reading of a request and the writing of its response on the admin
// port.
const adminTimeout = 10 * time.Second

// Dump is a snapshot of a daemon's state.
type Dump struct {
	Name    string    `json:"name"`
	Zone    string    `json:"zone"`
	Started time.Time `json:"started"`
	// Serving is set while callers may be directed to this daemon.
	Serving  bool  `json:"serving"`
	InFlight int64 `json:"in_flight"`
	// PlatformUnavailable is set while the platform is unavailable.
	PlatformUnavailable bool `json:"platform_away"`
	// StoreEpoch is the number of the history of the platform's store. It rises when the
	// store is restored from an older copy.
	StoreEpoch uint64 `json:"store_epoch"`
	// Feeds tell the last change and the age of what is known of the store.
	Feeds []heartbeat.FeedReport `json:"feeds"`
	// AdvertisedAddresses are the advertised entry VMs: those of other zones while no daemon of the local
	// zone serves.
	AdvertisedAddresses []string           `json:"named"`
	Members             []heartbeat.Member `json:"members"`
	// Suspects are the contents of requests during which targets died.
	Suspects []quarantine.Suspect `json:"suspects"`
	Gateway  gateway.State        `json:"gateway"`
	// Rejections counts the requests of callers that could not be parsed, by reason.
	Rejections map[string]uint64 `json:"rejections"`
	// RejectedConfigs counts the configurations that were invalid.
	RejectedConfigs uint64 `json:"rejected_configurations"`
	// Breaches counts violations of invariants.
	Breaches map[invariant.Name]uint64 `json:"breaches"`
}

func (d *Daemon) dump() Dump {
	return Dump{
		Name:                d.settings.Name,
		Zone:                d.settings.Zone,
		Started:             d.started,
		Serving:             d.serving.Load(),
		InFlight:            d.server.InFlight(),
		PlatformUnavailable: d.monitor.Unavailable(),
		StoreEpoch:          d.platform.Feeds().Store.Epoch(),
		Feeds:               d.feeds.Reports(),
		AdvertisedAddresses: d.node.AdvertisedAddresses(),
		Members:             d.node.Members(),
		Suspects:            d.quarantine.Suspects(time.Now()),
		Gateway:             d.gateway.State(),
		Rejections:          d.server.Rejections(),
		RejectedConfigs:     d.rejectedConfigs.Load(),
		Breaches:            invariant.Breaches(),
	}
}

// serveAdmin starts to serve the state dump and metrics. A failure, such as a port in use,
// is only logged, because serving callers is more important.
func (d *Daemon) serveAdmin() {
	if d.settings.AdminPort == 0 {
		return
	}
	address := net.JoinHostPort(d.settings.IP, strconv.Itoa(d.settings.AdminPort))
	registry := prometheus.NewRegistry()
	registry.MustRegister(&collector{daemon: d})
	mux := http.NewServeMux()
	mux.Handle(PathMetrics, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc(PathDump, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(d.dump()); err != nil {
			d.log.WithError(err).Warn("failed to write the state dump")
		}
	})
	server := &http.Server{Addr: address, Handler: mux, ReadTimeout: adminTimeout, WriteTimeout: adminTimeout}
	d.closers = append(d.closers, server)
	go func() {
		if err := server.ListenAndServe(); !d.stopping.Load() {
			d.log.WithError(err).WithField("address", address).Error("admin server failed")
		}
	}()
}
