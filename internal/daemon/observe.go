package daemon

import (
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/poplarwheel/poplarwheel/internal/invariant"
	"github.com/poplarwheel/poplarwheel/internal/metrics"
	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// observed is what makes a daemon's state seen.
type observed struct {
	metrics      *metrics.Registry
	serveMetrics fasthttp.RequestHandler
	sections     map[string]DumpSection
}

func newObserved() observed {
	registry := metrics.NewRegistry()
	return observed{
		metrics:      registry,
		serveMetrics: fasthttpadaptor.NewFastHTTPHandler(registry.Handler()),
		sections:     map[string]DumpSection{},
	}
}

// DumpSection returns the state of one part for the dump, as a value that can be
// encoded as JSON. It is called from any goroutine.
type DumpSection func() any

// AddDumpSection adds a part to the dump, under a name of its own. It must be
// called before Run.
func (d *Daemon) AddDumpSection(name string, section DumpSection) {
	d.observed.sections[name] = section
}

// dumpSections returns the state of all parts.
func (d *Daemon) dumpSections() map[string]any {
	states := make(map[string]any, len(d.observed.sections))
	for name, section := range d.observed.sections {
		states[name] = section()
	}
	return states
}

// observeParts sets up the metrics and the sections of the dump.
func (d *Daemon) observeParts() {
	registry := d.observed.metrics
	registry.Invariants()
	d.observePeers(registry)
	registry.Services(d.serviceCounts)
	registry.Gauge("requests_in_flight", "Requests of callers without an answer.", func() float64 {
		return float64(d.callers.InFlight())
	})
	registry.Gauge("caller_connections", "Open connections of callers.", func() float64 {
		return float64(d.callers.Connections())
	})
	registry.Gauge("configuration_revision", "Revision of the configuration in force.", func() float64 {
		return float64(d.snapshot.Load().Revision)
	})
	registry.Gauge("members", "Entry VMs that this daemon sees, in any state.", func() float64 {
		return float64(len(d.members.list()))
	})
	registry.Counter("probes_total", "Load reports asked for.", func() float64 {
		return float64(d.proxy.MeasuringCosts().Probes)
	})
	registry.Counter("measuring_bytes_total", "Bytes spent on measuring: probes, their answers, and reports carried on answers.", func() float64 {
		measuring := d.proxy.MeasuringCosts()
		return float64(measuring.ProbeBytes + measuring.ReportBytes)
	})
	d.AddDumpSection("services", func() any { return d.proxy.Services() })
	d.AddDumpSection("invariant_breaches", func() any { return invariant.Breaches() })
	d.AddDumpSection("caller_connections", func() any { return d.callers.Connections() })
}

func (d *Daemon) serviceCounts() []metrics.Service {
	states := d.proxy.Services()
	counts := make([]metrics.Service, len(states))
	for i, state := range states {
		counts[i] = metrics.Service{
			Name:     state.Service,
			First:    state.Attempts.First,
			Retries:  state.Attempts.Retries,
			Hedges:   state.Attempts.Hedges,
			InFlight: state.InFlight,
			Targets:  state.Targets,
			Leaving:  state.Leaving,
		}
	}
	return counts
}

// seriesOf returns the metrics of a request.
func (d *Daemon) seriesOf(request *fasthttp.Request) *metrics.Series {
	return d.observed.metrics.Calls.Series(request.Header.Peek(wire.HeaderService), request.Header.Peek(wire.HeaderType))
}
