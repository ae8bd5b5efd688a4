package rollout

import "time"

// MaxDuration is the longest duration of a valid order.
const MaxDuration = 24 * time.Hour

// Validate returns the duration of an order and why the order is invalid, empty if it is valid.
// seconds is duration_s as decoded, isNumber whether it is a number.
func Validate(service, target string, seconds float64, isNumber, serviceKnown bool) (time.Duration, string) {
	return 0, ""
}
