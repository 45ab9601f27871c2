// Package monotonictest lets tests change the time of day that a clock shows, as when the clock
// of a VM is set.
package monotonictest

import (
	"fmt"
	"sync/atomic"
	"time"
	"unsafe"
)

// secondsShift is the position of the seconds in the first word of a time.Time with a monotonic
// reading.
const secondsShift = 30

// Jump returns a time whose time of day is later by a number of whole seconds, which may be
// negative, and whose monotonic reading is the same.
func Jump(at time.Time, by time.Duration) time.Time {
	jumped := at
	*(*uint64)(unsafe.Pointer(&jumped)) += uint64(by/time.Second) << secondsShift
	if jumped.Sub(at) != 0 || jumped.Round(0).Sub(at.Round(0)) != by {
		panic(fmt.Sprintf("monotonictest: %v can't jump by %v", at, by))
	}
	return jumped
}

// Clock is the clock of the process with another time of day. It is safe for concurrent use.
type Clock struct{ offset atomic.Int64 }

// Now returns the current time.
func (c *Clock) Now() time.Time { return Jump(time.Now(), time.Duration(c.offset.Load())) }

// Jump changes the time of day by a number of whole seconds, which may be negative.
func (c *Clock) Jump(by time.Duration) { c.offset.Add(int64(by)) }
