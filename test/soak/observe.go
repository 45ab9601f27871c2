package main

import (
	"context"
	"sync"
	"time"

	"github.com/poplarwheel/poplarwheel/test/fleet"
)

// watch looks at the daemons' dumps.
func (r *runner) watch(ctx context.Context) {
	var watching sync.WaitGroup
	for i := range r.options.entries {
		watching.Go(func() {
			for ctx.Err() == nil {
				r.look(i)
				sleep(ctx, watchInterval)
			}
		})
	}
	watching.Wait()
}

func (r *runner) look(i int) {
	dump, err := r.fleet.Dump(i)
	if err != nil {
		return
	}
	r.history.addSighting(sighting{Entry: dump.Name, Incarnation: dump.Incarnation, Revision: dump.Revision, At: time.Now()})
}

// settle waits until every entry daemon has the last accepted revision, for
// settleTime at most.
func (r *runner) settle() {
	var last uint64
	for _, a := range r.history.acceptances {
		last = max(last, a.Revision)
	}
	deadline := time.Now().Add(settleTime)
	for i := range r.options.entries {
		for {
			dump, err := r.fleet.Dump(i)
			r.history.settled[fleet.EntryName(i)] = dump.Revision
			if (err == nil && dump.Revision >= last) || time.Now().After(deadline) {
				break
			}
			time.Sleep(watchInterval)
		}
	}
}
