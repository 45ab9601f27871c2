package gateway

import (
	"strconv"
	"time"
)

// maxMilliseconds is the longest time that ParseMilliseconds accepts as valid: one day.
const maxMilliseconds = 24 * 60 * 60 * 1000

// ParseMilliseconds decodes a header with a time in milliseconds, which may have a fraction. It returns
// false if the header is missing, is no number, is negative or exceeds maxMilliseconds.
func ParseMilliseconds(value []byte) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(string(value), 64)
	// The comparison is false for NaN.
	if valid := err == nil && ms >= 0 && ms <= maxMilliseconds; !valid {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}
