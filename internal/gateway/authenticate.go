package gateway

import (
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/placement"
	"github.com/poplarwheel/poplarwheel/internal/route"
)

// Reasons for refusing a request because of its key.
const (
	// reasonNoKey: the request carries no key and its route doesn't allow that.
	reasonNoKey = "no_key"
	// reasonUnknownKey: no workspace of the configuration in force has the key.
	reasonUnknownKey = "unknown_key"
)

// authenticate returns the workspace whose key a request carries, nil if it needs none. If the
// request is to be refused, it returns the reason. Keys are looked up for each request, so that a
// configuration takes effect on connections that are already open.
func (g *Gateway) authenticate(request *fasthttp.Request, r *route.Route) (workspace *route.Workspace, refusal string) {
	if !g.table.RequiresKeys() {
		return nil, ""
	}
	key, present := g.options.Dialect.CallerKey(request)
	if !present {
		if r.AllowAnonymous {
			return nil, ""
		}
		return nil, reasonNoKey
	}
	if workspace = g.table.FindWorkspace(key); workspace == nil {
		return nil, reasonUnknownKey
	}
	return workspace, ""
}

// newUnauthenticatedResponse counts and logs a request that is refused because of its key, and
// returns the response.
func (g *Gateway) newUnauthenticatedResponse(request *fasthttp.Request, reason string) *fasthttp.Response {
	g.counts.recordUnauthenticated(reason)
	g.log.unauthenticated(g, request, reason)
	response := newErrorResponse(request, fasthttp.StatusUnauthorized, reason)
	response.Header.Set(fasthttp.HeaderWWWAuthenticate, g.options.Dialect.Challenge())
	return response
}

// ChecksHeaders reports whether RefuseByHeader may refuse requests at present. It must be called
// on the event loop.
func (g *Gateway) ChecksHeaders() bool { return g.table != nil && g.table.RequiresKeys() }

// RefuseByHeader returns the response to a request whose body hasn't arrived yet if it is refused
// because of its key, else nil. Serve authenticates the request again, since its key may be revoked
// while the body arrives. It must be called on the event loop.
func (g *Gateway) RefuseByHeader(request *fasthttp.Request) *fasthttp.Response {
	r := g.findRoute(request)
	if r == nil {
		return nil
	}
	if _, refusal := g.authenticate(request, r); refusal != "" {
		return g.newUnauthenticatedResponse(request, refusal)
	}
	return nil
}

// flowOf returns the flow that competes for targets with those of other workspaces. Workspaces weigh as
// much as their quota allows; without a quota, as much as the largest one. Anonymous requests are one
// flow.
func (g *Gateway) flowOf(workspace *route.Workspace) placement.Flow {
	switch {
	case !g.table.RequiresKeys():
		return placement.Flow{}
	case workspace == nil:
		return placement.Flow{Name: anonymousFlow, Weight: g.table.MaxQuotaRate()}
	case workspace.Quota.Limited():
		return placement.Flow{Name: workspace.Name, Weight: workspace.Quota.Rate}
	}
	return placement.Flow{Name: workspace.Name, Weight: g.table.MaxQuotaRate()}
}

// anonymousFlow is the name of the flow of anonymous requests. No workspace has it: HTTP headers
// can't carry it.
const anonymousFlow = "\x00anonymous"

// replacesKey reports whether the targets get the name of the call's workspace in place of the key.
// A configuration that requires keys may have come into force since the call arrived.
func (c *call) replacesKey() bool { return c.keysRequired || c.gateway.table.RequiresKeys() }

// workspaceName returns the name of the call's workspace, or "" if it has none.
func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}
