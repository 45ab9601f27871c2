// Package e2e runs the whole path as separate processes.
package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/client"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
)

const settleTimeout = 20 * time.Second

func TestWholePath(t *testing.T) {
	f := startFleet(t, 2, 3)
	require.Equal(t, uint64(1), f.accept(t))

	caller := client.New(client.Options{Bootstrap: []string{f.EntryAddress(0)}, Service: "stock"})
	entries, err := caller.Entries()
	require.NoError(t, err)
	require.ElementsMatch(t, []string{f.EntryAddress(0), f.EntryAddress(1)}, entries.Addresses)

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
	f.accept(t)

	entry := f.EntryAddress(0)
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
