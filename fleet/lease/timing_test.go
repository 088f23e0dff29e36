package lease

import (
	"errors"
	"math"
	"testing"
	"time"
)

func TestTimingValidate(t *testing.T) {
	for _, c := range []struct {
		timing Timing
		field  string // that the error names; "" if the timing is valid
	}{
		{timing, ""},
		{Timing{}, "Duration"},
		{Timing{time.Second, 0.3, 1}, "ClockDrift"},
		{Timing{time.Second, -0.1, 1}, "ClockDrift"},
		{Timing{time.Second, math.NaN(), 1}, "ClockDrift"},
		{Timing{time.Second, 0.05, 0}, "RenewInterval"},
		{Timing{time.Second, 0.05, time.Second}, "RenewInterval"},
	} {
		err := c.timing.Validate()
		var invalid *ConfigError
		switch {
		case c.field == "":
			if err != nil {
				t.Errorf("%+v.Validate() = %v, want no error", c.timing, err)
			}
		case !errors.As(err, &invalid) || invalid.Field != c.field:
			t.Errorf("%+v.Validate() = %v, want a *ConfigError for field %s", c.timing, err, c.field)
		}
	}
}

func TestNewClient_RejectsZeroOwner(t *testing.T) {
	_, err := NewClient(Owner{}, timing, nil)
	var invalid *ConfigError
	if !errors.As(err, &invalid) || invalid.Field != "Owner" {
		t.Errorf("NewClient with the zero Owner returned %v, want a *ConfigError for field Owner", err)
	}
}
