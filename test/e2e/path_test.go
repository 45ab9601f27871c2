// Package e2e runs the whole path as separate processes.
package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/client"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
)

const settleTimeout = 20 * time.Second

func TestWholePath(t *testing.T) {
	f := startFleet(t, 2, 3)
	revision := f.accept(t, f.answers())
	require.Equal(t, uint64(1), revision)
	f.waitRevision(t, revision)

	caller := client.New(client.Options{Bootstrap: []string{f.entryAddress(0)}, Service: "stock"})
	entries, err := caller.Entries()
	require.NoError(t, err)
	require.ElementsMatch(t, []string{f.entryAddress(0), f.entryAddress(1)}, entries.Addresses)

	for i := range 40 {
		body := fmt.Sprintf(`{"sku":%d}`, i)
		answer, err := caller.Do(client.Request{Type: "availability", Path: "/availability", Body: []byte(body), Timeout: 5 * time.Second})
		require.NoError(t, err)
		require.Equal(t, client.Ran, answer.Outcome, "reason %s", answer.Reason)
		require.Equal(t, body, echo(t, answer))
	}
}

func TestResentBookingRunsOnce(t *testing.T) {
	f := startFleet(t, 2, 3)
	f.waitRevision(t, f.accept(t, f.answers()))

	entry := f.entryAddress(0)
	caller := client.New(client.Options{Bootstrap: []string{entry}, Service: "stock"})
	key, err := caller.NewKey()
	require.NoError(t, err)
	request := client.Request{Type: "book", Path: "/book", Body: []byte("rope"), Timeout: 5 * time.Second, Key: key}
	first, err := caller.DoAt(context.Background(), entry, request)
	require.NoError(t, err)
	require.Equal(t, client.Ran, first.Outcome, "reason %s", first.Reason)
	request.Resend = 1
	second, err := caller.DoAt(context.Background(), entry, request)
	require.NoError(t, err)
	require.Equal(t, client.Ran, second.Outcome)
	require.Equal(t, first.Body, second.Body)

	runs := 0
	for i := range f.targets {
		for _, run := range f.journal(t, i) {
			if run.Key == key {
				runs++
			}
		}
	}
	require.Equal(t, 1, runs)
}

func echo(t *testing.T, answer client.Answer) string {
	t.Helper()
	var decoded targetd.Answer
	require.NoError(t, json.Unmarshal(answer.Body, &decoded), "body %q", answer.Body)
	return decoded.Echo
}

func (f *fleet) answers() *questionnaire.Answers {
	service := questionnaire.Service{
		Name:                 "stock",
		Priority:             questionnaire.PriorityCost,
		TypicalMs:            5,
		SlotsPerServer:       3,
		ConnectionsPerServer: 200,
		Requests: []questionnaire.Request{
			{Name: "availability", AgreedMs: 5000, IfLate: questionnaire.HarmGrave, IfLost: questionnaire.HarmMinor, IfDoubled: questionnaire.HarmNone},
			{Name: "book", AgreedMs: 5000, IfLate: questionnaire.HarmMinor, IfLost: questionnaire.HarmGrave, IfDoubled: questionnaire.HarmGrave},
		},
	}
	for i, ip := range f.targets {
		service.Servers = append(service.Servers, questionnaire.Server{
			Name: fmt.Sprintf("target-%d", i), IP: ip, Port: targetPort, Zone: zone(i),
		})
	}
	return &questionnaire.Answers{Team: "swanbrook", Services: []questionnaire.Service{service}}
}

func (f *fleet) entryAddress(i int) string { return net.JoinHostPort(f.entries[i], callerPort) }

func (f *fleet) vms() []platform.VM {
	var vms []platform.VM
	for i, ip := range f.entries {
		vms = append(vms, platform.VM{Name: fmt.Sprintf("entry-%d", i), IP: ip, Region: "perth", Zone: zone(i), Role: platform.RoleEntry, State: platform.VMLive})
	}
	for i, ip := range f.targets {
		vms = append(vms, platform.VM{Name: fmt.Sprintf("target-%d", i), IP: ip, Region: "perth", Zone: zone(i), Role: platform.RoleTarget, State: platform.VMLive})
	}
	return vms
}

func zone(i int) string { return string(rune('a' + i%3)) }
