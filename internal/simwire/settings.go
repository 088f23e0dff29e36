package simwire

import (
	"encoding/json"
	"fmt"

	"quincerail.example/quincerail/decision"
)

// profile is the wire's form of the settings of an instance. The fields have the wire's
// names, and the methods below map them to the code's terms. Decoding errors show the names
// and types of the fields.
type profile struct {
	Servers   int `json:"servers"`
	QuantumUs int64
	Lanes     []struct {
		GoalTimeUs, HardLimitUs, WindowUs int64
		AimStretch, LateWorth, Gain       float64
		Semantics                         string
	}
	Realms     []struct{ QuotaRps float64 }
	FamilyInfo struct {
		Cores, Senders                           int
		JustStarted                              bool
		MemoryKb, KeyKb, RunFactor, CallsOut     float64
		DependsOn, StopMode, Say                 string
		CallsOverUs, StaysForUs, FreshUs, IdleUs int64
		HeededUs                                 int64
		CallsByClass                             []bool
		Readiness                                bool
		DegradedWorth                            []float64
	}
	Caps struct {
		RetryAfter      bool
		MaxRetryAfterUs int64
	}
	Obligations struct {
		AnswerSlackUs, DrainGraceUs, OverloadForUs, ColdUs int64
		FallMultiple, ColdFrom                             float64
	}
	OverShareWorth float64
}

// Settings decodes the settings of an instance from JSON. If a word for an enumerated setting
// is unknown, it returns an error together with the other settings.
func Settings(text string) (decision.Settings, error) {
	var p profile
	if err := json.Unmarshal([]byte(text), &p); err != nil {
		return decision.Settings{}, fmt.Errorf("profileData: %w", err)
	}
	s := p.instanceSettings()
	p.setObligations(&s)
	err := p.setEnums(&s)
	for i := range p.Lanes {
		class, classErr := p.classSettings(i)
		if err == nil {
			err = classErr
		}
		s.Classes = append(s.Classes, class)
	}
	for _, realm := range p.Realms {
		s.Tenants = append(s.Tenants, decision.Tenant{Quota: realm.QuotaRps})
	}
	return s, err
}

// instanceSettings returns the settings of the instance, its callers and its dependency, without
// those that the other methods set.
func (p *profile) instanceSettings() decision.Settings {
	info := &p.FamilyInfo
	s := decision.Settings{
		OverQuotaWeight:            p.OverShareWorth,
		Servers:                    p.Servers,
		Callers:                    info.Senders,
		Cores:                      info.Cores,
		SlowStart:                  info.JustStarted,
		MemoryKB:                   info.MemoryKb,
		KeyMemoryKB:                info.KeyKb,
		RunningMemoryFactor:        info.RunFactor,
		CallQuota:                  info.CallsOut,
		CallQuotaWindow:            microseconds(info.CallsOverUs),
		AbandonedCallDuration:      microseconds(info.StaysForUs),
		CacheTTL:                   microseconds(info.FreshUs),
		LoadReportTTL:              microseconds(info.HeededUs),
		MaxIdleTime:                microseconds(info.IdleUs),
		BatchInterval:              microseconds(p.QuantumUs),
		EndpointListOmitsUnhealthy: info.Readiness,
	}
	if p.Caps.RetryAfter {
		s.MaxRetryAfter = microseconds(p.Caps.MaxRetryAfterUs)
	}
	return s
}

// setObligations sets the time and load limits that the platform imposes on the instance.
func (p *profile) setObligations(s *decision.Settings) {
	obligations := &p.Obligations
	s.DeadlineSlack = microseconds(obligations.AnswerSlackUs)
	s.DrainGrace = microseconds(obligations.DrainGraceUs)
	s.OverloadRatio = obligations.FallMultiple
	s.OverloadWindow = microseconds(obligations.OverloadForUs)
	s.SlowStartMinSpeed = obligations.ColdFrom
	s.SlowStartDuration = microseconds(obligations.ColdUs)
}

// setEnums sets the enumerated settings. It returns the error of the first unknown word.
func (p *profile) setEnums(s *decision.Settings) error {
	var dependencyErr, cancelErr, reportErr error
	s.Dependency, dependencyErr = lookUp("dependsOn", p.FamilyInfo.DependsOn, dependencyKinds)
	s.CancelMode, cancelErr = lookUp("stopMode", p.FamilyInfo.StopMode, cancelModes)
	s.LoadReportMode, reportErr = lookUp("say", p.FamilyInfo.Say, loadReportModes)
	for _, err := range []error{dependencyErr, cancelErr, reportErr} {
		if err != nil {
			return err
		}
	}
	return nil
}

// classSettings returns the settings of class i. A setting whose list has no entry for the class
// is zero.
func (p *profile) classSettings(i int) (decision.Class, error) {
	lane := &p.Lanes[i]
	effect, err := lookUp("semantics", lane.Semantics, effects)
	c := decision.Class{
		LatencyObjective: microseconds(lane.GoalTimeUs),
		ObjectivePerCost: lane.AimStretch,
		Deadline:         microseconds(lane.HardLimitUs),
		Weight:           lane.Gain,
		LateWeight:       lane.LateWorth,
		KeyWindow:        microseconds(lane.WindowUs),
		Idempotency:      effect,
	}
	if i < len(p.FamilyInfo.CallsByClass) {
		c.CallsDependency = p.FamilyInfo.CallsByClass[i]
	}
	if i < len(p.FamilyInfo.DegradedWorth) {
		c.DegradedWeight = p.FamilyInfo.DegradedWorth[i]
	}
	return c, err
}

// lookUp returns the value for a word of the wire. key is the name of the field, for the error
// about an unknown word.
func lookUp[T any](key, word string, known map[string]T) (T, error) {
	value, ok := known[word]
	if !ok {
		return value, fmt.Errorf("profileData: %s %q is not known", key, word)
	}
	return value, nil
}
