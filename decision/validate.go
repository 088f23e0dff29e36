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
		{"CallsOver", float64(s.CallsOver)},
		{"Linger", float64(s.Linger)},
		{"Fresh", float64(s.Fresh)},
		{"Heeded", float64(s.Heeded)},
		{"MaxAdvice", float64(s.MaxAdvice)},
		{"MaxIdle", float64(s.MaxIdle)},
		{"AnswerSlack", float64(s.AnswerSlack)},
		{"DrainGrace", float64(s.DrainGrace)},
		{"FallSpan", float64(s.FallSpan)},
		{"ColdSpan", float64(s.ColdSpan)},
		{"BatchGap", float64(s.BatchGap)},
		{"MemoryKB", s.MemoryKB},
		{"KeyKB", s.KeyKB},
		{"RunFactor", s.RunFactor},
		{"CallsOut", s.CallsOut},
		{"FallMultiple", s.FallMultiple},
		{"ColdFrom", s.ColdFrom},
		{"OverShareWorth", s.OverShareWorth},
		{"Servers", float64(s.Servers)},
		{"Callers", float64(s.Callers)},
	}
	for i, c := range s.Classes {
		at := fmt.Sprintf("Classes[%d].", i)
		times := []setting{{at + "Aim", float64(c.Aim)}, {at + "Deadline", float64(c.Deadline)}}
		if err := least(1, times...); err != nil {
			return err
		}
		checks = append(checks, setting{at + "Window", float64(c.Window)}, setting{at + "Worth", c.Worth},
			setting{at + "AimStretch", c.AimStretch}, setting{at + "SkipWorth", c.SkipWorth})
	}
	for i, t := range s.Tenants {
		checks = append(checks, setting{fmt.Sprintf("Tenants[%d].Quota", i), t.Quota})
	}
	return least(0, checks...)
}
