package decision

import (
	"errors"
	"fmt"
)

// Validate names the first setting that makes no sense: a class list that is
// empty, fewer than one core, a time, amount or share that is negative (or
// NaN), or a class whose aim or deadline is under a nanosecond.
func (s Settings) Validate() error {
	type setting struct {
		name  string
		value float64
	}
	least := func(limit float64, settings ...setting) error {
		for _, x := range settings {
			if !(x.value >= limit) {
				return fmt.Errorf("%s: %v, want at least %v", x.name, x.value, limit)
			}
		}
		return nil
	}
	if len(s.Classes) == 0 {
		return errors.New("classes: none, at least one is needed")
	}
	if err := least(1, setting{"Cores", float64(s.Cores)}); err != nil {
		return err
	}
	checks := []setting{
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
	for i, c := range s.Classes {
		at := fmt.Sprintf("Classes[%d].", i)
		times := []setting{{at + "Aim", float64(c.LatencyObjective)}, {at + "Deadline", float64(c.Deadline)}}
		if err := least(1, times...); err != nil {
			return err
		}
		checks = append(checks, setting{at + "Window", float64(c.KeyWindow)}, setting{at + "Worth", c.Weight},
			setting{at + "AimStretch", c.ObjectivePerCost}, setting{at + "SkipWorth", c.DegradedWeight})
	}
	for i, t := range s.Tenants {
		checks = append(checks, setting{fmt.Sprintf("Tenants[%d].Quota", i), t.Quota})
	}
	return least(0, checks...)
}
