package admin

import (
	"errors"
	"net"
	"runtime/debug"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
)

// otherPath stands for unknown paths in metrics.
const otherPath = "other"

// serve answers one request.
func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	s.underWay.Add(1)
	defer s.underWay.Add(-1)
	c := &call{ctx: ctx, template: otherPath}
	answer, err := s.guarded(c)
	failure := s.failure(c, err)
	if failure != nil {
		c.writeError(failure, err)
	} else {
		c.write(answer)
	}
	s.audit(c, failure)
	s.options.Metrics.Answered(c.template, ctx.Response.StatusCode(), codeOf(failure))
}

// guarded handles the request and turns a panic into an error.
func (s *Server) guarded(c *call) (answer reply, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			s.options.Log.WithField("path", c.template).WithField("panic", cause).WithField("stack", string(debug.Stack())).Error("administration API failed")
			err = &PanicError{Cause: cause}
		}
	}()
	return s.handle(c)
}

// handle finds out what is asked for and by whom, and does it.
func (s *Server) handle(c *call) (reply, error) {
	found, names, err := find(s.table, string(c.ctx.Path()))
	if err != nil {
		return reply{}, err
	}
	c.template = found.template
	c.names = names
	wanted, ok := found.actions[string(c.ctx.Method())]
	if !ok {
		return reply{}, &MethodError{Method: string(c.ctx.Method()), Path: found.template, Allowed: found.methods()}
	}
	c.action = wanted
	if err := s.authenticate(c); err != nil {
		return reply{}, err
	}
	return s.limited(c)
}

// limited does what is asked for within the limits of the team and the server.
func (s *Server) limited(c *call) (reply, error) {
	if !c.who.Admin {
		wait := s.limiter.begin(s.options.Now(), c.who.Team, withDefaults(c.who.Limits).RequestsPerMinute)
		if wait > 0 {
			return reply{}, &RateError{Wait: wait}
		}
		defer s.limiter.end(c.who.Team)
	}
	if c.action.admin && !c.who.Admin {
		return reply{}, &ForbiddenError{Reason: "only administrators may do this"}
	}
	if err := c.readHeaders(); err != nil {
		return reply{}, err
	}
	if !c.action.body {
		return c.action.handle(c)
	}
	weight := c.bodyWeight()
	if err := s.beginBody(weight); err != nil {
		return reply{}, err
	}
	defer s.bodies.Release(weight)
	if err := c.readBody(); err != nil {
		return reply{}, err
	}
	return c.action.handle(c)
}

// serveError answers what isn't a request, or arrives too slowly.
func (s *Server) serveError(ctx *fasthttp.RequestCtx, err error) {
	c := &call{ctx: ctx, template: otherPath}
	failure := requestFailure(err)
	c.writeError(failure, err)
	s.options.Metrics.Answered(otherPath, failure.Status, string(failure.Code))
}

// requestFailure describes an error of the HTTP library.
func requestFailure(err error) *adminapi.Error {
	var (
		tooLarge *fasthttp.ErrSmallBuffer
		timeout  net.Error
	)
	switch {
	case errors.As(err, &tooLarge):
		return failed(fasthttp.StatusRequestHeaderFieldsTooLarge, adminapi.CodeInvalid, "the header is larger than the API takes")
	case errors.As(err, &timeout) && timeout.Timeout():
		return failed(fasthttp.StatusRequestTimeout, adminapi.CodeTooSlow, "the request took too long to arrive")
	}
	return failed(fasthttp.StatusBadRequest, adminapi.CodeInvalid, "this is not an HTTP request")
}
