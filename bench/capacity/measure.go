package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/poplarwheel/poplarwheel/bench/internal/process"
	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
	"github.com/poplarwheel/poplarwheel/internal/standin/platformd"
	"github.com/poplarwheel/poplarwheel/test/fleet"
)

const (
	// settle is the pause before a measurement.
	settle = 3 * time.Second
	// pollInterval is the pause between two looks at a revision.
	pollInterval = 5 * time.Millisecond
	// forceLimit bounds the wait for a revision.
	forceLimit = 30 * time.Second
)

// measure starts a fleet of one size and prints what it costs.
func measure(o options, p point) error {
	dir, err := os.MkdirTemp("", "poplarwheel-capacity")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := fleet.Start(fleet.Options{Binary: o.binary, Dir: dir, Entries: p.entries})
	if err != nil {
		return err
	}
	defer f.Close()
	m := &meter{fleet: f, point: p}
	first, err := m.change(0)
	if err != nil {
		return err
	}
	time.Sleep(settle)
	idle, err := m.window(o.window)
	if err != nil {
		return err
	}
	idle.print("idle", p)
	fmt.Printf("point=whole entries=%d services=%d targets=%d in_force_ms=%d\n", p.entries, p.services, p.targets, first.Milliseconds())
	if err := m.changes(o.changes); err != nil {
		return err
	}
	return m.called(o.called)
}

// meter measures one fleet.
type meter struct {
	fleet    *fleet.Fleet
	point    point
	revision uint64
}

// answers fills in the questionnaire; service number changed has been revised.
func (m *meter) answers(revised int) *questionnaire.Answers {
	answers := &questionnaire.Answers{Team: "bench"}
	per := m.point.targets / m.point.services
	for i := range m.point.services {
		typicalMs := 5
		if i == revised%m.point.services {
			typicalMs += 1 + revised/m.point.services%50
		}
		answers.Services = append(answers.Services, m.service(i, per, typicalMs))
	}
	return answers
}

func (m *meter) service(number, targets, typicalMs int) questionnaire.Service {
	service := questionnaire.Service{
		Name:                 fmt.Sprintf("service-%d", number),
		Priority:             questionnaire.PriorityCost,
		TypicalMs:            typicalMs,
		SlotsPerServer:       3,
		ConnectionsPerServer: 200,
		Requests: []questionnaire.Request{
			{Name: "availability", AgreedMs: 500, IfLate: questionnaire.HarmGrave, IfLost: questionnaire.HarmMinor, IfDoubled: questionnaire.HarmNone},
			{Name: "book", AgreedMs: 2000, IfLate: questionnaire.HarmMinor, IfLost: questionnaire.HarmGrave, IfDoubled: questionnaire.HarmGrave},
		},
	}
	for i := range targets {
		n := number*targets + i
		service.Servers = append(service.Servers, questionnaire.Server{
			Name: fmt.Sprintf("vm-%d", n),
			IP:   fmt.Sprintf("127.250.%d.%d", n/250, 1+n%250),
			Port: fleet.TargetPort,
			Zone: fleet.Zone(i),
		})
	}
	return service
}

// change accepts a revision and returns how long it took to be in force
// everywhere, counted from the acceptance.
func (m *meter) change(revised int) (time.Duration, error) {
	revision, err := m.fleet.Accept(m.answers(revised), "bench")
	if err != nil {
		return 0, err
	}
	m.revision = revision
	accepted := time.Now()
	for i := range m.point.entries {
		for {
			ready, err := m.fleet.Ready(i)
			if err == nil && ready.Revision >= revision {
				break
			}
			if time.Since(accepted) > forceLimit {
				return 0, &fleet.TimeoutError{Waiting: fmt.Sprintf("revision %d", revision)}
			}
			time.Sleep(pollInterval)
		}
	}
	return time.Since(accepted), nil
}

// cost is what control costs one entry daemon.
type cost struct {
	cpuPercent      float64
	residentMB      float64
	anonymousMB     float64
	peerBytes       float64
	peerMessages    float64
	platformReads   float64
	platformWrites  float64
	platformWatches float64
}

// window measures for a time.
func (m *meter) window(length time.Duration) (cost, error) {
	before, err := m.totals()
	if err != nil {
		return cost{}, err
	}
	time.Sleep(length)
	after, err := m.totals()
	if err != nil {
		return cost{}, err
	}
	spent := after.since(before, m.point.entries)
	spent.setMemory(before, m.point.entries)
	return spent, nil
}

// totals are sums over all entry daemons since their start.
type totals struct {
	at       time.Time
	cpu      time.Duration
	resident int64
	heap     int64
	bytes    uint64
	messages uint64
	platform platformd.Counts
}

func (m *meter) totals() (totals, error) {
	sum := totals{at: time.Now()}
	for i := range m.point.entries {
		usage := process.Of(m.fleet.Pid(fleet.EntryName(i)))
		sum.cpu += usage.CPU
		sum.resident += usage.ResidentBytes
		sum.heap += usage.AnonymousBytes
	}
	for i := range m.point.entries {
		dump, err := m.fleet.Dump(i)
		if err != nil {
			return totals{}, err
		}
		sum.bytes += dump.Peers.BytesSent + dump.Peers.BytesReceived
		sum.messages += dump.Peers.MessagesSent + dump.Peers.MessagesReceived
	}
	counts, err := m.fleet.PlatformCounts()
	sum.platform = counts
	return sum, err
}

func (t totals) since(before totals, entries int) cost {
	seconds := t.at.Sub(before.at).Seconds()
	share := seconds * float64(entries)
	spent := cost{
		cpuPercent:      100 * (t.cpu - before.cpu).Seconds() / share,
		peerBytes:       float64(t.bytes-before.bytes) / share,
		peerMessages:    float64(t.messages-before.messages) / share,
		platformReads:   float64(t.platform.Reads-before.platform.Reads) / seconds,
		platformWrites:  float64(t.platform.Writes-before.platform.Writes) / seconds,
		platformWatches: float64(t.platform.Watches-before.platform.Watches) / seconds,
	}
	spent.setMemory(t, entries)
	return spent
}

// setMemory takes the memory of a moment. It was read before the dumps of the same
// moment, which take memory themselves.
func (c *cost) setMemory(at totals, entries int) {
	c.residentMB = float64(at.resident) / float64(entries) / (1 << 20)
	c.anonymousMB = float64(at.heap) / float64(entries) / (1 << 20)
}

func (c cost) print(name string, p point) {
	fmt.Printf("point=%s entries=%d services=%d targets=%d cpu_percent=%.2f resident_mb=%.1f anonymous_mb=%.1f peer_bytes_per_s=%.0f peer_messages_per_s=%.1f platform_reads_per_s=%.1f platform_writes_per_s=%.1f platform_watches_per_s=%.1f\n",
		name, p.entries, p.services, p.targets, c.cpuPercent, c.residentMB, c.anonymousMB, c.peerBytes, c.peerMessages, c.platformReads, c.platformWrites, c.platformWatches)
}

// changes measures single changes one after the other.
func (m *meter) changes(count int) error {
	before, err := m.totals()
	if err != nil {
		return err
	}
	var took []time.Duration
	for i := range count {
		delay, err := m.change(i + 1)
		if err != nil {
			return err
		}
		took = append(took, delay)
	}
	after, err := m.totals()
	if err != nil {
		return err
	}
	slices.Sort(took)
	spent := after.since(before, m.point.entries)
	spent.print("changing", m.point)
	perChange := (after.cpu - before.cpu).Seconds() * 1000 / float64(count*m.point.entries)
	fmt.Printf("point=change entries=%d services=%d targets=%d changes=%d in_force_p50_ms=%d in_force_max_ms=%d cpu_ms_per_change=%.2f peer_bytes_per_change=%.0f platform_reads_per_change=%.1f\n",
		m.point.entries, m.point.services, m.point.targets, count, took[len(took)/2].Milliseconds(), took[len(took)-1].Milliseconds(), perChange,
		float64(after.bytes-before.bytes)/float64(count*m.point.entries), float64(after.platform.Reads-before.platform.Reads)/float64(count))
	return nil
}
