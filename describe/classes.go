package describe

import (
	"cmp"
	"fmt"
	"time"

	"github.com/tidwall/gjson"

	"quincerail.example/quincerail/decision"
)

// Class is a request class as a document defines it. The embedded decision.Class holds its
// latency objective, deadline, weights and idempotency.
type Class struct {
	Name string
	decision.Class
}

// Values of the key effect, which determines the idempotency of a class.
const (
	effectSafe   = "safe"
	effectKeyed  = "keyed"
	effectUnsafe = "unsafe"
)

// defaultWeight is the weight of a class without the key worth, or with a worth of 0.
const defaultWeight = 1

// ClassError reports an invalid class in a document.
type ClassError struct {
	Class  string
	Key    string // invalid key of the class in x-quincerail-classes
	Reason string
}

// Error implements error.
func (e *ClassError) Error() string {
	return fmt.Sprintf("%s.%s.%s: %s", extClasses, e.Class, e.Key, e.Reason)
}

// decodeClasses reads and validates the classes of the extension x-quincerail-classes.
func decodeClasses(extension gjson.Result) (classes []Class, err error) {
	extension.ForEach(func(name, value gjson.Result) bool {
		class, effectErr := decodeClass(name.String(), value)
		if err = cmp.Or(class.validate(), effectErr); err != nil {
			return false
		}
		classes = append(classes, class)
		return true
	})
	return classes, err
}

// decodeClass reads a class. It returns an error only for an unknown effect; validate checks
// the other keys.
func decodeClass(name string, value gjson.Result) (Class, error) {
	class := Class{name, decision.Class{
		LatencyObjective: milliseconds(value, "aim_ms"),
		Deadline:         milliseconds(value, "deadline_ms"),
		Weight:           cmp.Or(value.Get("worth").Float(), defaultWeight),
		LateWeight:       value.Get("late_worth").Float(),
		KeyWindow:        milliseconds(value, "window_ms"),
	}}
	switch effect := value.Get("effect").String(); effect {
	case "", effectSafe:
	case effectKeyed:
		class.Idempotency = decision.Keyed
	case effectUnsafe:
		class.Idempotency = decision.NonIdempotent
	default:
		return class, &ClassError{name, "effect", fmt.Sprintf("unknown effect %q, want safe, keyed or unsafe", effect)}
	}
	return class, nil
}

// milliseconds returns the value of a key as a duration in milliseconds. It returns 0 if the
// key is missing or not a number.
func milliseconds(value gjson.Result, key string) time.Duration {
	return time.Duration(value.Get(key).Float() * float64(time.Millisecond))
}

// validate returns a *ClassError if a duration of the class is invalid.
func (c Class) validate() error {
	switch {
	case c.LatencyObjective <= 0:
		return &ClassError{c.Name, "aim_ms", "must be a positive number of milliseconds"}
	case c.Deadline < c.LatencyObjective:
		return &ClassError{c.Name, "deadline_ms", "must be at least aim_ms"}
	case c.Idempotency == decision.Keyed && c.KeyWindow <= 0:
		return &ClassError{c.Name, "window_ms", "must be a positive number of milliseconds"}
	}
	return nil
}
