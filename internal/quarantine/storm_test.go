package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	stormDaemons  = 3
	stormTargets  = 4
	stormCrashing = 5
	stormCallers  = 20
)

// storm simulates daemons of which several crash contents are requested by many callers at once.
// Daemons inform one another without delay, but one that restarts knows only what is stored.
type storm struct {
	t       *rapid.T
	now     time.Time
	daemons []*Coordinator
	stored  map[Content]Suspect
	running []*stormRequest
	next    Content
	// crashes counts the targets that each crashing content has killed.
	crashes map[Content]int
	// killers are the contents at whose deaths each harmless content was.
	killers map[Content][]Content
	// restarts counts the daemons that have forgotten deaths below the limit.
	restarts int
	targets  [stormTargets]int
}

type stormRequest struct {
	id      Identity
	daemon  int
	target  int
	sentAt  time.Time
	holder  bool
	retried bool
}

// stormPeers are the peers of one daemon of a storm.
type stormPeers struct {
	storm *storm
	self  int
}

// Announce implements Peers.
func (p *stormPeers) Announce(suspect Suspect, done func(Answers)) {
	answers := Answers{Complete: true}
	if suspect.Quarantined {
		p.storm.stored[suspect.Content] = suspect
	}
	for i, other := range p.storm.daemons {
		if i == p.self {
			continue
		}
		other.Merge(p.storm.now, []Suspect{suspect})
		known, claimed := other.Lookup(p.storm.now, []Suspect{suspect})
		p.storm.daemons[p.self].Merge(p.storm.now, known)
		answers.Claimed = answers.Claimed || claimed
	}
	done(answers)
}

// Lift implements Peers.
func (p *stormPeers) Lift(content Content) {
	delete(p.storm.stored, content)
	for _, other := range p.storm.daemons {
		other.Lift(content)
	}
}

func newStorm(t *rapid.T) *storm {
	s := &storm{t: t, now: start, next: stormCrashing + 1, stored: map[Content]Suspect{}, crashes: map[Content]int{}, killers: map[Content][]Content{}}
	for i := range stormDaemons {
		s.daemons = append(s.daemons, s.newDaemon(i))
	}
	return s
}

func (s *storm) newDaemon(index int) *Coordinator {
	d := NewCoordinator(&stormPeers{storm: s, self: index})
	d.now = func() time.Time { return s.now }
	return d
}

func (s *storm) draw(limit int, label string) int { return rapid.IntRange(0, limit-1).Draw(s.t, label) }

func (s *storm) step() {
	s.now = s.now.Add(time.Duration(1+s.draw(200, "ms")) * time.Millisecond)
	switch s.draw(8, "step") {
	case 0:
		s.restart(s.draw(stormDaemons, "restarted"))
	case 1, 2:
		s.next++
		s.arrive(s.next)
	case 3, 4, 5:
		s.arrive(Content(1 + s.draw(stormCrashing, "content")))
	default:
		s.end()
	}
}

// restart replaces a daemon that runs nothing by one that knows what is stored.
func (s *storm) restart(daemon int) {
	if s.restarts >= stormDaemons || slices.ContainsFunc(s.running, func(r *stormRequest) bool { return r.daemon == daemon }) {
		return
	}
	s.restarts++
	s.daemons[daemon] = s.newDaemon(daemon)
	for _, suspect := range s.stored {
		suspect.ToldAt = time.Time{}
		s.daemons[daemon].Merge(s.now, []Suspect{suspect})
	}
}

// arrive is the arrival of a request from any caller at any daemon, unless a copy is running.
func (s *storm) arrive(content Content) {
	if slices.ContainsFunc(s.running, func(r *stormRequest) bool { return r.id.Content == content }) {
		return
	}
	id := Identity{Content: content, ByCaller: content*1000 + Content(s.draw(stormCallers, "caller"))}
	daemon := s.draw(stormDaemons, "daemon")
	switch d := s.daemons[daemon]; d.Standing(s.now, id) {
	case Unsuspected:
		s.run(&stormRequest{id: id, daemon: daemon})
	case Suspected:
		d.Claim(s.now, id, func(granted bool) {
			if granted {
				s.run(&stormRequest{id: id, daemon: daemon, holder: true})
			}
		})
	}
}

func (s *storm) run(r *stormRequest) {
	r.target, r.sentAt = s.draw(stormTargets, "target"), s.now
	s.running = append(s.running, r)
}

// end answers the oldest request, or lets it kill its target.
func (s *storm) end() {
	if len(s.running) == 0 {
		return
	}
	r := s.running[0]
	if r.id.Content <= stormCrashing {
		s.crash(r)
		return
	}
	s.running = s.running[1:]
	d := s.daemons[r.daemon]
	d.RecordEnd(s.now, r.id.Content, true)
	d.RecordEnd(s.now, r.id.ByCaller, true)
	if r.holder {
		d.Release(r.id.Content)
	}
}

// crash ends all requests at a target by its death.
func (s *storm) crash(killer *stormRequest) {
	s.crashes[killer.id.Content]++
	s.targets[killer.target]++
	name := fmt.Sprint("target-", killer.target, "-", s.targets[killer.target])
	var dead []*stormRequest
	s.running = slices.DeleteFunc(s.running, func(r *stormRequest) bool {
		if r.target == killer.target {
			dead = append(dead, r)
		}
		return r.target == killer.target
	})
	for _, r := range dead {
		if r.id.Content > stormCrashing {
			s.killers[r.id.Content] = append(s.killers[r.id.Content], killer.id.Content)
		}
		s.daemons[r.daemon].RecordDeath(s.now, &FailedRequest{
			Content: r.id.Content, ByCaller: r.id.ByCaller, Target: name, SentAt: r.sentAt, HoldsClaim: r.holder,
			Resume: func(allowed bool) { s.resume(r, allowed) },
		})
	}
}

// resume sends a request once more, if that is allowed.
func (s *storm) resume(r *stormRequest, allowed bool) {
	switch {
	case allowed && !r.retried:
		s.run(&stormRequest{id: r.id, daemon: r.daemon, holder: true, retried: true})
	case allowed:
		s.daemons[r.daemon].Release(r.id.Content)
	}
}

// Guards against requests that crash targets being passed on without end when many callers send
// them, several at a time, and daemons restart; and against the quarantine of harmless requests that
// were at targets which one of them killed.
func TestCrashesAreBoundedForEachOfManyContents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStorm(t)
		for range 300 {
			s.step()
		}
		for content, crashes := range s.crashes {
			// A daemon that restarts forgets deaths below the limit.
			require.LessOrEqual(t, crashes, DeathLimit+1+s.restarts, "content %d", content)
		}
		for content, killers := range s.killers {
			oneKiller := len(slices.Compact(slices.Sorted(slices.Values(killers)))) == 1
			if oneKiller && len(killers) <= DeathLimit {
				require.False(t, s.daemons[0].Quarantined(s.now, content), "content %d", content)
			}
		}
	})
}
