package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The 17 connections that the target accepts, shared by 8 entry VMs, leave 2 for this
// daemon.
func TestAttemptsAndProbesStayWithinConnections(t *testing.T) {
	service := testService(1)
	service.EntryVMLimit = 8
	service.Groups[0].MaxConnections = 17
	s := testScheduler(t, service)
	target := s.Targets()[0]
	require.Equal(t, 2, target.MaxConnections)

	requireOnly(t, s.Arrive(start, testCall(1, readType())), Start)
	require.Same(t, target, s.ProbeTarget(start))
	target.Probing = true
	require.Equal(t, ReasonNoTarget, requireOnly(t, s.Arrive(start, testCall(2, waitingRead(0))), Refuse).Reason)
	target.Probing = false
	requireOnly(t, s.Arrive(start, testCall(3, readType())), Start)
	require.Nil(t, s.ProbeTarget(start))
}

func TestNoProbeWhileReportsAreFresh(t *testing.T) {
	s := testScheduler(t, testService(2))
	for _, target := range s.Targets() {
		target.RecordLoad(start, 1)
	}
	require.Nil(t, s.ProbeTarget(start.Add(staleReport/2)))
	require.NotNil(t, s.ProbeTarget(start.Add(staleReport)))
}
