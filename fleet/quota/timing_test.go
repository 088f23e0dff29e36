package quota

import (
	"errors"
	"math"
	"testing"
	"time"
)

func TestTimingValidate(t *testing.T) {
	if err := testTiming.Validate(); err != nil {
		t.Errorf("Validate() of %+v = %v, want no error", testTiming, err)
	}
	for _, test := range []struct {
		field  string
		change func(*Timing)
	}{
		{"MaxClockDrift", func(t *Timing) { t.MaxClockDrift = -0.01 }},
		{"MaxClockDrift", func(t *Timing) { t.MaxClockDrift = 0.21 }},
		{"MaxClockDrift", func(t *Timing) { t.MaxClockDrift = math.NaN() }},
		{"HeartbeatInterval", func(t *Timing) { t.HeartbeatInterval = 0 }},
		{"MaxHoldTime", func(t *Timing) { t.MaxHoldTime = -1 }},
		{"SessionTimeout", func(t *Timing) { t.SessionTimeout = 4 * time.Second }},
	} {
		timing := testTiming
		test.change(&timing)
		var invalid *TimingError
		if err := timing.Validate(); !errors.As(err, &invalid) || invalid.Field != test.field {
			t.Errorf("Validate() of %+v = %v, want a TimingError for %s", timing, err, test.field)
		}
	}
}
