package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/quarantine"
	"github.com/poplarwheel/poplarwheel/internal/quota"
	"github.com/poplarwheel/poplarwheel/internal/route"
)

// Quotas decides on the requests of workspaces with a quota. It is safe for concurrent use and
// doesn't block.
type Quotas interface {
	// Admit decides on a request. If the verdict is that it waits, decided is called later, on
	// any goroutine and unless the request is canceled.
	Admit(workspace *route.Workspace, revision uint64, decided func(quota.Verdict)) (quota.Verdict, *quota.Waiter)
	// RejectLate rejects a request that can't be answered in time if the workspace asks for more
	// than its quota. It returns false if the request isn't rejected.
	RejectLate(workspace *route.Workspace) (quota.Verdict, bool)
	// Cancel ends the wait of a request.
	Cancel(waiter *quota.Waiter)
	// Return gives back the permit of a request that was not sent.
	Return(permit quota.Permit)
}

// SetQuotas enables the quotas of workspaces. It must be called before Apply.
func (g *Gateway) SetQuotas(quotas Quotas) { g.quotas = quotas }

// quotaState is what a call holds of its workspace's quota.
type quotaState struct {
	// waiter is set while the call waits for a permit.
	waiter *quota.Waiter
	// admitted is set while the call holds permit.
	admitted bool
	permit   quota.Permit
}

// begin places the call once its workspace's quota admits it.
func (c *call) begin(standing quarantine.Standing) {
	g := c.gateway
	if g.quotas == nil || c.workspace == nil || !c.workspace.Quota.Limited() {
		c.place(standing)
		return
	}
	if !c.placed.CanBeInTime(time.Now()) {
		if verdict, rejected := g.quotas.RejectLate(c.workspace); rejected {
			c.applyVerdict(verdict, standing)
			return
		}
	}
	verdict, waiter := g.quotas.Admit(c.workspace, g.table.Revision(), func(verdict quota.Verdict) {
		g.runOnLoop(func() { c.decided(verdict) })
	})
	if verdict.Outcome == quota.Waiting {
		c.quota.waiter = waiter
		return
	}
	c.applyVerdict(verdict, standing)
}

// decided ends the wait for a permit. The call may have ended meanwhile, and its content may have
// become suspected.
func (c *call) decided(verdict quota.Verdict) {
	c.quota.waiter = nil
	if c.done {
		if verdict.Outcome == quota.Admitted {
			c.gateway.quotas.Return(verdict.Permit)
		}
		return
	}
	c.applyVerdict(verdict, c.standing(time.Now()))
}

func (c *call) applyVerdict(verdict quota.Verdict, standing quarantine.Standing) {
	if verdict.Outcome == quota.Rejected {
		c.refuseOverQuota(verdict.RetryAfter)
		return
	}
	c.quota.admitted, c.quota.permit = true, verdict.Permit
	c.place(standing)
}

// refuseOverQuota responds that the workspace has used up its quota.
func (c *call) refuseOverQuota(retryAfter time.Duration) {
	c.finish()
	c.gateway.counts.Refused++
	c.gateway.log.notPlaced(c.gateway, c.request, fasthttp.StatusTooManyRequests, reasonOverQuota)
	response := newErrorResponse(c.request, fasthttp.StatusTooManyRequests, reasonOverQuota)
	setRetryAfter(response, retryAfter)
	c.exchange.ReplyOnLoop(response)
}

// endQuota ends the wait for a permit, and gives back the permit if the call was never sent.
func (c *call) endQuota() {
	if c.quota.waiter != nil {
		c.gateway.quotas.Cancel(c.quota.waiter)
		c.quota.waiter = nil
	}
	if c.quota.admitted && c.lastSent == nil {
		c.gateway.quotas.Return(c.quota.permit)
	}
	c.quota.admitted = false
}
