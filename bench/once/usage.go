package main

import (
	"os"
	"time"

	"github.com/poplarwheel/poplarwheel/bench/internal/process"
	"github.com/poplarwheel/poplarwheel/internal/standin/platformd"
)

// usage is what all daemons have used. The processor time is of the whole process,
// the platform stand-in included.
type usage struct {
	writes, reads, bytes uint64
	cpu                  time.Duration
}

func takeUsage(server *platformd.Server, f *fleet) usage {
	counts := server.Counts()
	u := usage{writes: counts.Writes, reads: counts.Reads, cpu: process.Of(os.Getpid()).CPU}
	for _, recorder := range f.recorders {
		u.bytes += recorder.State().WrittenBytes
	}
	return u
}

func (u usage) since(before usage) usage {
	return usage{writes: u.writes - before.writes, reads: u.reads - before.reads, bytes: u.bytes - before.bytes, cpu: u.cpu - before.cpu}
}
