package daemon

import (
	"context"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/membership"
	"github.com/poplarwheel/poplarwheel/internal/peer"
)

// rejoined exchanges with a member that was thought dead or suspected what is told
// only once: the requests that crash targets, and the targets that are leaving.
func (d *Daemon) rejoined(member membership.Member) {
	go func() {
		d.exchangeSuspects(member)
		d.exchangeLeavingTargets(member)
	}()
}

func (d *Daemon) exchangeSuspects(member membership.Member) {
	ctx := context.Background()
	var theirs peer.Suspects
	if err := d.callMember(ctx, member, peer.MethodSuspects, struct{}{}, &theirs); err != nil {
		d.log.WithError(err).WithField("member", member.Name).Warn("suspects not exchanged")
		return
	}
	now := time.Now()
	d.quarantine.Merge(now, theirs.Suspects)
	if ours := d.quarantine.Suspects(now); len(ours) > 0 {
		_ = d.callMember(ctx, member, peer.MethodSuspect, peer.Suspects{Suspects: ours}, nil)
	}
}

func (d *Daemon) exchangeLeavingTargets(member membership.Member) {
	ours := peer.LeavingTargets{Names: d.proxy.LeavingTargets()}
	var theirs peer.LeavingTargets
	if err := d.callMember(context.Background(), member, peer.MethodLeavingTargets, ours, &theirs); err != nil {
		d.log.WithError(err).WithField("member", member.Name).Warn("leaving targets not exchanged")
		return
	}
	d.proxy.SetTargetsLeavingByPeer(theirs.Names)
}
