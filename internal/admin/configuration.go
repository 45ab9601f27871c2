package admin

import (
	"slices"
	"strconv"
	"strings"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
	"github.com/poplarwheel/poplarwheel/internal/strictjson"
)

// sees reports whether the identity owns a service of a configuration.
func (i *identity) sees(applied *rollout.Applied, service string) bool {
	body := applied.Bodies[service]
	return body != nil && i.owns(body.Service.Team)
}

// configuration answers adminapi.PathConfiguration.
func (s *Server) configuration(c *call) (reply, error) {
	latest := s.accepted.recent()
	shown := adminapi.Configuration{
		Revision:   latest.Head.Revision,
		AcceptedAt: latest.Head.AcceptedAt,
		InForce:    s.options.Daemon.InForce().Head.Revision,
		Services:   []adminapi.ServiceRevision{},
	}
	if len(latest.Head.History) > 0 {
		if _, ok := c.who.shows(latest, latest.Head.History[0]); ok {
			shown.AcceptedBy = latest.Head.AcceptedBy
		}
	}
	for _, ref := range latest.Head.Services {
		if c.who.sees(latest, ref.Name) {
			shown.Services = append(shown.Services, adminapi.ServiceRevision{Name: ref.Name, Revision: ref.Revision})
		}
	}
	return reply{etag: etag(shown.Revision), body: shown}, nil
}

// shows returns what the identity is shown of a revision. It returns false if that is
// nothing. Whose a removed service was is not known, so a team is shown the removals
// that it accepted itself.
func (i *identity) shows(latest *rollout.Applied, entry rollout.HistoryEntry) (adminapi.Revision, bool) {
	shown := adminapi.Revision{Revision: entry.Revision, AcceptedBy: entry.AcceptedBy, AcceptedAt: entry.AcceptedAt}
	own := i.Admin || strings.HasPrefix(entry.AcceptedBy, i.Team+"/")
	for _, name := range entry.Changed {
		if i.Admin || i.sees(latest, name) {
			shown.Changed = append(shown.Changed, name)
		}
	}
	if own {
		shown.Removed = slices.Clone(entry.Removed)
	}
	return shown, own || len(shown.Changed) > 0
}

// revisions answers adminapi.PathRevisions.
func (s *Server) revisions(c *call) (reply, error) {
	w, err := c.window()
	if err != nil {
		return reply{}, err
	}
	before, err := w.before()
	if err != nil {
		return reply{}, err
	}
	latest := s.accepted.recent()
	var shown []adminapi.Revision
	for _, entry := range latest.Head.History {
		revision, ok := c.who.shows(latest, entry)
		if ok && (before == 0 || revision.Revision < before) {
			shown = append(shown, revision)
		}
	}
	page := adminapi.RevisionPage{}
	page.Revisions, page.Next = cut(shown, func(r adminapi.Revision) string { return strconv.FormatUint(r.Revision, 10) }, w.limit)
	return reply{body: page}, nil
}

// before returns the revision that a page of revisions starts below; 0 means none.
// The error is a *strictjson.InvalidError.
func (w window) before() (uint64, error) {
	if w.after == "" {
		return 0, nil
	}
	before, err := strconv.ParseUint(w.after, 10, 64)
	if err != nil {
		return 0, strictjson.Invalid(adminapi.QueryAfter, "must be a revision")
	}
	return before, nil
}

// services answers adminapi.PathServices.
func (s *Server) services(c *call) (reply, error) {
	w, err := c.window()
	if err != nil {
		return reply{}, err
	}
	latest := s.accepted.recent()
	var shown []adminapi.ServiceSummary
	for _, ref := range latest.Head.Services {
		if c.who.sees(latest, ref.Name) {
			service := latest.Bodies[ref.Name].Service
			shown = append(shown, adminapi.ServiceSummary{Name: ref.Name, Team: service.Team, Revision: ref.Revision, Targets: service.TargetCount()})
		}
	}
	page := adminapi.ServicePage{}
	page.Services, page.Next = pageOf(shown, func(s adminapi.ServiceSummary) string { return s.Name }, w)
	return reply{body: page}, nil
}

// service answers adminapi.PathService.
func (s *Server) service(c *call) (reply, error) {
	name := c.names[0]
	latest := s.accepted.recent()
	if !c.who.sees(latest, name) {
		return reply{}, &MissingError{What: "service", Name: name}
	}
	ref, _ := latest.Head.Ref(name)
	return reply{etag: etag(ref.Revision), body: latest.Bodies[name].Service}, nil
}
