package decision

import (
	"errors"
	"fmt"
)

// Validate returns an error for the first invalid setting, or nil. Invalid are an empty
// class list, fewer than one core, a class whose latency objective or deadline is under a
// nanosecond, and a negative or NaN duration, amount or fraction.
//
// The errors use the setting names of earlier versions of the program, because operators
// and the simulator know these.
func (s Settings) Validate() error {
	if len(s.Classes) == 0 {
		return errors.New("classes: none, at least one is needed")
	}
	if err := checkAtLeast(1, setting{"Cores", float64(s.Cores)}); err != nil {
		return err
	}
	checks := s.nonNegativeSettings()
	for i, c := range s.Classes {
		path := fmt.Sprintf("Classes[%d].", i)
		if err := checkAtLeast(1, c.positiveSettings(path)...); err != nil {
			return err
		}
		checks = append(checks, c.nonNegativeSettings(path)...)
	}
	for i, t := range s.Tenants {
		checks = append(checks, setting{fmt.Sprintf("Tenants[%d].Quota", i), t.Quota})
	}
	return checkAtLeast(0, checks...)
}

// setting is the value of a setting with the name that errors use for it.
type setting struct {
	name  string
	value float64
}

// checkAtLeast returns an error that names the first setting that is below the limit or NaN.
func checkAtLeast(limit float64, settings ...setting) error {
	for _, s := range settings {
		if !(s.value >= limit) {
			return fmt.Errorf("%s: %v, want at least %v", s.name, s.value, limit)
		}
	}
	return nil
}

// nonNegativeSettings returns the settings outside of classes and tenants that must not be
// negative.
func (s *Settings) nonNegativeSettings() []setting {
	return []setting{
		{"CallsOver", float64(s.CallQuotaWindow)},
		{"Linger", float64(s.AbandonedCallDuration)},
		{"Fresh", float64(s.CacheTTL)},
		{"Heeded", float64(s.LoadReportTTL)},
		{"MaxAdvice", float64(s.MaxRetryAfter)},
		{"MaxIdle", float64(s.MaxIdleTime)},
		{"AnswerSlack", float64(s.DeadlineSlack)},
		{"DrainGrace", float64(s.DrainGrace)},
		{"FallSpan", float64(s.OverloadWindow)},
		{"ColdSpan", float64(s.SlowStartDuration)},
		{"BatchGap", float64(s.BatchInterval)},
		{"MemoryKB", s.MemoryKB},
		{"KeyKB", s.KeyMemoryKB},
		{"RunFactor", s.RunningMemoryFactor},
		{"CallsOut", s.CallQuota},
		{"FallMultiple", s.OverloadRatio},
		{"ColdFrom", s.SlowStartMinSpeed},
		{"OverShareWorth", s.OverQuotaWeight},
		{"Servers", float64(s.Servers)},
		{"Callers", float64(s.Callers)},
	}
}

// positiveSettings returns the settings of a class that must be at least one nanosecond.
func (c *Class) positiveSettings(path string) []setting {
	return []setting{
		{path + "Aim", float64(c.LatencyObjective)},
		{path + "Deadline", float64(c.Deadline)},
	}
}

// nonNegativeSettings returns the settings of a class that must not be negative.
func (c *Class) nonNegativeSettings(path string) []setting {
	return []setting{
		{path + "Window", float64(c.KeyWindow)},
		{path + "Worth", c.Weight},
		{path + "AimStretch", c.ObjectivePerCost},
		{path + "SkipWorth", c.DegradedWeight},
	}
}
