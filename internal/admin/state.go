package admin

import (
	"strconv"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/proxy"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
)

// targets answers adminapi.PathTargets.
func (s *Server) targets(c *call) (reply, error) {
	w, err := c.window()
	if err != nil {
		return reply{}, err
	}
	only := string(c.ctx.QueryArgs().Peek(adminapi.QueryService))
	inForce := s.options.Daemon.InForce()
	if only != "" && !c.who.sees(inForce, only) {
		return reply{}, &MissingError{What: "service", Name: only}
	}
	var shown []proxy.TargetState
	for _, target := range s.options.Daemon.Targets() {
		if (only == "" || target.Service == only) && c.who.sees(inForce, target.Service) {
			shown = append(shown, target)
		}
	}
	page := adminapi.TargetPage{}
	page.Targets, page.Next = pageOf(shown, func(t proxy.TargetState) string { return t.Service + keySeparator + t.Name }, w)
	return reply{body: page}, nil
}

// ownSuspects returns the suspects of services that the identity owns. A content of
// a service that was removed is shown to administrators.
func (s *Server) ownSuspects(who *identity) []quarantine.Suspect {
	inForce := s.options.Daemon.InForce()
	var own []quarantine.Suspect
	for _, suspect := range s.options.Daemon.Suspects() {
		if who.Admin || who.sees(inForce, suspect.Service) {
			own = append(own, suspect)
		}
	}
	return own
}

// suspects answers adminapi.PathQuarantine.
func (s *Server) suspects(c *call) (reply, error) {
	w, err := c.window()
	if err != nil {
		return reply{}, err
	}
	page := adminapi.SuspectPage{}
	page.Suspects, page.Next = pageOf(s.ownSuspects(c.who), func(s quarantine.Suspect) string { return contentKey(uint64(s.Content)) }, w)
	return reply{body: page}, nil
}

// lift answers adminapi.PathSuspect. A team lifts what this daemon suspects of its
// own services; administrators lift any content, which peers may suspect.
func (s *Server) lift(c *call) (reply, error) {
	number, err := strconv.ParseUint(c.names[0], 10, 64)
	if err != nil {
		return reply{}, &MissingError{What: "content", Name: c.names[0]}
	}
	content := quarantine.Content(number)
	c.note("content", number)
	if !c.who.Admin && !s.suspectedOf(c.who, content) {
		return reply{}, &MissingError{What: "content", Name: c.names[0]}
	}
	lifted := s.options.Daemon.Lift(content)
	if lifted.Unreached == nil {
		lifted.Unreached = []string{}
	}
	c.note("unreached", len(lifted.Unreached))
	return reply{body: lifted}, nil
}

func (s *Server) suspectedOf(who *identity, content quarantine.Content) bool {
	for _, suspect := range s.ownSuspects(who) {
		if suspect.Content == content {
			return true
		}
	}
	return false
}

// dump answers adminapi.PathDump.
func (s *Server) dump(*call) (reply, error) { return reply{body: s.options.Daemon.Dump()}, nil }
