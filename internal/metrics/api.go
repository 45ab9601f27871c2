package metrics

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// API are the metrics of the administration API.
type API struct {
	requests *prometheus.CounterVec
	refusals *prometheus.CounterVec
}

func newAPI(registry *prometheus.Registry) *API {
	a := &API{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "api_requests_total",
			Help:      "Requests to the administration API, by path template and class of the status.",
		}, []string{labelPath, labelClass}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "api_refusals_total",
			Help:      "Requests that the administration API refused, by error code.",
		}, []string{labelCode}),
	}
	registry.MustRegister(a.requests, a.refusals)
	return a
}

// Answered counts an answer. Path is a template, never what a client sent; code is
// empty for an answer that is no error.
func (a *API) Answered(path string, status int, code string) {
	const statusesPerClass = 100
	class := strconv.Itoa(status/statusesPerClass) + "xx"
	a.requests.WithLabelValues(path, class).Inc()
	if code != "" {
		a.refusals.WithLabelValues(code).Inc()
	}
}
