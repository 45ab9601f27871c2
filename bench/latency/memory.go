package main

import (
	"fmt"
	"net"
	"regexp"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/bench/internal/process"
	"github.com/poplarwheel/poplarwheel/internal/daemon"
	"github.com/poplarwheel/poplarwheel/test/fleet"
)

const (
	// idleConnections is the number of connections whose memory is measured.
	idleConnections = 1000
	// memorySettle is the pause before memory is read.
	memorySettle = time.Second
	// scrapeTimeout bounds a read of the metrics.
	scrapeTimeout = 5 * time.Second
)

// printMemory prints what an idle daemon takes, and what idle connections add.
func printMemory(f *fleet.Fleet) error {
	pid := f.Pid(fleet.EntryName(0))
	before := process.Of(pid)
	conns := make([]net.Conn, 0, idleConnections)
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	for range idleConnections {
		conn, err := net.Dial("tcp", f.EntryAddress(0))
		if err != nil {
			return err
		}
		conns = append(conns, conn)
	}
	time.Sleep(memorySettle)
	after := process.Of(pid)
	fmt.Printf("idle_resident %.1f MB\n", megabytes(before.ResidentBytes))
	fmt.Printf("idle_anonymous %.1f MB\n", megabytes(before.AnonymousBytes))
	fmt.Printf("per_1000_connections %.2f MB\n", megabytes(after.ResidentBytes-before.ResidentBytes)*1000/idleConnections)
	return nil
}

func megabytes(bytes int64) float64 { return float64(bytes) / (1 << 20) }

var mallocs = regexp.MustCompile(`(?m)^go_memstats_mallocs_total (\S+)$`)

// allocations returns the number of objects that the daemon has allocated.
func allocations(f *fleet.Fleet) (float64, error) {
	_, body, err := fasthttp.GetTimeout(nil, "http://"+f.AdminAddress(0)+daemon.PathMetrics, scrapeTimeout)
	if err != nil {
		return 0, err
	}
	match := mallocs.FindSubmatch(body)
	if match == nil {
		return 0, nil
	}
	return strconv.ParseFloat(string(match[1]), 64)
}
