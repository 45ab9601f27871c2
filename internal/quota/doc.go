// Package quota limits the requests of workspaces over all daemons of a deployment together.
//
// One daemon at a time, the owner, holds the token buckets of all workspaces. It holds a lease
// that more than half of the daemons have granted it. Daemons that receive requests ask it for
// permits in batches, which expire soon. A daemon that reaches no owner falls back to a share so
// small that the shares of all daemons together fit into the slack of the requirement.
//
// The package is a state machine without goroutines, clock or I/O: times, random numbers and
// received messages are inputs, messages to send and decisions on requests are outputs. Times are
// durations since any fixed moment, by a clock that also counts time during which the daemon was
// suspended. See docs/design/quotas.md.
package quota
