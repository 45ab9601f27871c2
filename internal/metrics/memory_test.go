package metrics

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/poplarwheel/poplarwheel/internal/config"
)

// BenchmarkConfigure reports the memory of one configured request type that gets
// no calls.
func BenchmarkConfigure(b *testing.B) {
	const services, requestTypes = 440, 3
	s := &config.Snapshot{Services: map[string]*config.Service{}}
	for i := range services {
		service := &config.Service{Name: fmt.Sprint("service-", i)}
		for j := range requestTypes {
			service.RequestTypes = append(service.RequestTypes, config.RequestType{Name: fmt.Sprint("type-", j)})
		}
		s.Services[service.Name] = service
	}
	var registries []*Registry
	before := heapBytes()
	for b.Loop() {
		r := NewRegistry()
		r.Calls.Configure(s)
		registries = append(registries, r)
	}
	used := float64(heapBytes()-before) / float64(len(registries))
	b.ReportMetric(used/(services*requestTypes), "B/type")
	runtime.KeepAlive(registries)
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
