package daemon

import (
	"time"
)

// sweepInterval is the pause between two looks for overdue attempts.
const sweepInterval = 250 * time.Millisecond

// sweep keeps the proxy's timeouts and its count of entry VMs up to date.
func (d *Daemon) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.stop:
			return
		case now := <-ticker.C:
			d.proxy.Sweep(now)
			entryVMs := len(d.members.list())
			d.proxy.SetEntryVMs(entryVMs)
			d.once.rates.SetDaemons(entryVMs)
		}
	}
}
