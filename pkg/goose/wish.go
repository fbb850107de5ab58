package goose

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Wish is what the head of a response says about further requests to the backend server.
type Wish struct {
	// Leaving is set if the process leaves and takes no new requests.
	Leaving bool
	// Pause is for how long the backend server wants no requests; zero if it takes them.
	Pause time.Duration
}

// statusUnavailable is the only HTTP status with which a backend server may ask for a pause.
const statusUnavailable = 503

// maxPauseSeconds keeps the pause of a backend server from overflowing.
const maxPauseSeconds = 24 * 60 * 60

// ParsePause returns the pause that a response with the given HTTP status and values of the
// header Retry-After asks for: the longest of the values, in seconds with an optional fraction.
// Other values, such as dates, are ignored.
func ParsePause(status int, values []string) time.Duration {
	if status != statusUnavailable {
		return 0
	}
	longest := 0.0
	for _, v := range values {
		s, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
		if err != nil || math.IsNaN(s) || math.IsInf(s, 0) {
			continue
		}
		longest = max(longest, s)
	}
	return time.Duration(min(longest, maxPauseSeconds) * float64(time.Second))
}
