package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Duration is a time.Duration that is written in JSON as a string such as "250ms".
type Duration struct {
	time.Duration
}

// DurationOf wraps a time.Duration.
func DurationOf(d time.Duration) Duration {
	return Duration{Duration: d}
}

// MarshalJSON writes the duration as a string with its unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// UnmarshalJSON reads a string with a unit. It rejects a number without a unit.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("want a duration with its unit such as \"250ms\", got %s", data)
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("want a duration with its unit such as \"250ms\", got %q", text)
	}
	if value < 0 {
		return errors.New("want a duration that is not negative")
	}
	d.Duration = value
	return nil
}
