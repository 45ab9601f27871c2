package admin

import (
	"github.com/sirupsen/logrus"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
)

// audit writes one line for each change that somebody known has asked for, whether
// it was made or refused. It never has a token.
func (s *Server) audit(c *call, failure *adminapi.Error) {
	if c.action.changes == "" || c.who == nil {
		return
	}
	fields := logrus.Fields{
		"change":     c.action.changes,
		"by":         c.who.name(),
		"request_id": c.requestID,
		"client":     c.ctx.RemoteIP().String(),
	}
	if !c.who.Admin {
		fields["team"] = c.who.Team
		fields["token"] = c.who.TokenID
	}
	if c.operator != "" {
		fields["operator"] = c.operator
	}
	for field, value := range c.audited {
		fields[field] = value
	}
	log := s.options.Log.WithFields(fields)
	if failure != nil {
		log.WithField("error", string(failure.Code)).WithField("status", failure.Status).Warn("change refused")
		return
	}
	log.Info("change made")
}
