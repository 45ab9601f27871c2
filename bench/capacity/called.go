package main

import (
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// called sends each entry daemon one call for each of some services and prints the
// daemons' memory. The calls fail, since no target runs.
func (m *meter) called(services int) error {
	services = min(services, m.point.services)
	for i := range m.point.entries {
		for service := range services {
			if err := m.call(i, fmt.Sprintf("service-%d", service)); err != nil {
				return err
			}
		}
	}
	after, err := m.totals()
	if err != nil {
		return err
	}
	var spent cost
	spent.setMemory(after, m.point.entries)
	fmt.Printf("point=called entries=%d services=%d targets=%d called=%d resident_mb=%.1f anonymous_mb=%.1f\n",
		m.point.entries, m.point.services, m.point.targets, services, spent.residentMB, spent.anonymousMB)
	return nil
}

// call sends one call to an entry daemon and takes any answer.
func (m *meter) call(entry int, service string) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + m.fleet.EntryAddress(entry) + "/")
	request.Header.Set(wire.HeaderService, service)
	request.Header.Set(wire.HeaderType, "availability")
	return fasthttp.DoTimeout(request, response, forceLimit)
}
