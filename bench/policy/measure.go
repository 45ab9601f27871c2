package main

import (
	"sync"
	"syscall"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/proxy"
)

// maxRepeats bounds the repetitions of a pass.
const maxRepeats = 2

// measureQuiet repeats a pass, a few times at most, in which the host held up the
// generator itself.
func (f *fleet) measureQuiet(r row, seed uint64, duration time.Duration) (result, error) {
	measured, err := f.measure(r, seed, duration)
	for i := 0; i < maxRepeats && err == nil && measured.disturbed(r.times.maxLag); i++ {
		f.repeated++
		measured, err = f.measure(r, seed, duration)
	}
	return measured, err
}

// measure runs one row on fresh targets.
func (f *fleet) measure(r row, seed uint64, duration time.Duration) (result, error) {
	f.runs++
	var services []*service
	for _, size := range f.deployment.services {
		s, err := f.startService(size, r, seed)
		if err != nil {
			return result{}, err
		}
		defer s.close()
		services = append(services, s)
	}
	if err := f.accept(services); err != nil {
		return result{}, err
	}
	return f.load(services, r, seed, duration), nil
}

// load sends the calls of a row and counts what they cost.
func (f *fleet) load(services []*service, r row, seed uint64, duration time.Duration) result {
	stop := make(chan struct{})
	results := newTally(r.times.deadline)
	occupied := f.observe(services, samplePause*time.Duration(r.scale), r.k, stop)
	cpu := cpuTime()
	before := f.measuring()
	start := time.Now().Add(10 * time.Millisecond)
	record := start.Add(r.times.warmUp)
	var running sync.WaitGroup
	var sent []*generator
	for i, s := range services {
		go r.faults.disturb(s.targets, seed, stop)
		g := newGenerator(s.config.Name, f.bootstrap(), rate(s.size, r), seed*100+uint64(i), results)
		g.heavy = r.heavy
		sent = append(sent, g)
		running.Go(func() { g.run(start, record, record.Add(duration)) })
	}
	running.Wait()
	close(stop)
	measured := result{tally: results, occupied: <-occupied, cpu: cpuTime() - cpu}
	for _, g := range sent {
		measured.sent += g.sent
	}
	for _, s := range services {
		s.count(&measured)
	}
	after := f.measuring()
	measured.probeBytes = after.ProbeBytes - before.ProbeBytes
	measured.reportBytes = after.ReportBytes - before.ReportBytes
	return measured
}

// measuring sums what the daemons have spent on measuring.
func (f *fleet) measuring() proxy.MeasuringCosts {
	var sum proxy.MeasuringCosts
	for _, d := range f.daemons {
		spent := d.Dump().Measuring
		sum.ProbeBytes += spent.ProbeBytes
		sum.ReportBytes += spent.ReportBytes
	}
	return sum
}

// cpuTime is the processor time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
