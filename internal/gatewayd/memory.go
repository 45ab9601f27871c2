package gatewayd

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/panjf2000/gnet/v2"
)

const (
	// heldFraction is the fraction of the VM's memory that may be held for callers and targets. The
	// garbage collector lets the heap grow to 1.5 times its content (gcPercent), and the process
	// takes about 25 MB besides. The smallest VM (184 MB) holds a body of 64 MiB.
	heldFraction = 0.4
	// heapFraction is the fraction of the VM's memory above which the garbage collector runs more
	// often.
	heapFraction = 0.7
	// reliefPause is the pause between two searches for holders that can give way, if those of the
	// first didn't suffice.
	reliefPause = 10 * time.Millisecond
)

// heldBytes returns the maximum number of bytes that are held for callers and targets. 0 means
// unlimited.
func (r Resources) heldBytes() int64 { return int64(float64(r.MemoryMB) * megabyte * heldFraction) }

// LimitMemory makes the garbage collector of the process keep to the VM's memory, if it is known.
func LimitMemory(r Resources) {
	if r.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(r.MemoryMB) * megabyte * heapFraction))
	}
}

// relieveWhenShort makes callers give way when the budget is short.
func (d *Daemon) relieveWhenShort(loop gnet.EventLoop) {
	relieve := gnet.RunnableFunc(func(context.Context) error {
		d.server.Relieve()
		if d.budget.Short() {
			time.AfterFunc(reliefPause, d.budget.Rearm)
		} else {
			d.budget.Rearm()
		}
		return nil
	})
	d.budget.OnShort(func() { _ = loop.Execute(context.Background(), relieve) })
}
