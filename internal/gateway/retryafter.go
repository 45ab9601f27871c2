package gateway

import (
	"bytes"
	"errors"
	"math"
	"strconv"
	"time"
)

// MaxRetryAfter is returned for longer times, which may not fit a time.Duration.
const MaxRetryAfter = 24 * time.Hour

// ParseRetryAfter decodes a Retry-After header: a time in seconds, which may have a fraction. It returns 0 if the
// header is missing or is no positive number. HTTP dates are not supported.
func ParseRetryAfter(value []byte) time.Duration {
	seconds, err := strconv.ParseFloat(string(bytes.TrimSpace(value)), 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, MaxRetryAfter.Seconds()) * float64(time.Second))
}
