package describe

import (
	"cmp"
	"fmt"
	"time"

	"github.com/tidwall/gjson"

	"quincerail.example/quincerail/decision"
)

// Class is a named class of requests.
type Class struct {
	Name string
	decision.Class
}

// The effects of a class, as documents name them.
const (
	effectSafe   = "safe"
	effectKeyed  = "keyed"
	effectUnsafe = "unsafe"
)

// defaultWeight is the weight of a class that names none.
const defaultWeight = 1

// ClassError reports a class of a document that makes no sense.
type ClassError struct {
	Class  string
	Key    string // of the extension
	Reason string
}

// Error implements error.
func (e *ClassError) Error() string {
	return fmt.Sprintf("%s.%s.%s: %s", extClasses, e.Class, e.Key, e.Reason)
}

// decodeClasses reads the extension at the top of a document.
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

// decodeClass reads a class. Its error is one of the effect; the others are validate's.
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
		return class, &ClassError{name, "effect", fmt.Sprintf("%q", effect)}
	}
	return class, nil
}

// milliseconds returns the duration of an extension's key, or 0 if it is not there.
func milliseconds(value gjson.Result, key string) time.Duration {
	return time.Duration(value.Get(key).Float() * float64(time.Millisecond))
}

// validate returns a *ClassError if the class makes no sense.
func (c Class) validate() error {
	switch {
	case c.LatencyObjective <= 0:
		return &ClassError{c.Name, "aim_ms", "a time wanted"}
	case c.Deadline < c.LatencyObjective:
		return &ClassError{c.Name, "deadline_ms", "at least aim_ms wanted"}
	case c.Idempotency == decision.Keyed && c.KeyWindow <= 0:
		return &ClassError{c.Name, "window_ms", "a time wanted"}
	}
	return nil
}
