// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded as text such as "1.5s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// MarshalText returns the text form. It never fails.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses the text form and rejects a negative duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("pipeline: duration %q: want a number and a unit, as in 250ms or 2s", text)
	}
	if v < 0 {
		return fmt.Errorf("pipeline: duration %q is negative", text)
	}
	*d = Duration(v)
	return nil
}
