// Package jsontime encodes durations in JSON as readable strings such as "1.5s".
package jsontime

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration whose JSON form is a string with a unit, such as "1.5s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Errorf("duration must be a string with a unit, such as \"1.5s\", not %s", b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errors.WithStack(err)
	}
	*d = Duration(v)
	return nil
}
