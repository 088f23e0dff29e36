package dispatch

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/policy"
)

// drainNoticeDelay is how long after it was sent a busy core may see the notice to drain.
// DrainGrace, which counts from when the notice is seen, is shortened by it: so it never
// ends later than a grace that is counted from when the notice was sent.
const drainNoticeDelay = 30 * time.Millisecond

// settingsTable is the classes and tenants in force. Each keeps its index for good, so that
// an open request keeps its own whatever settings come.
type settingsTable struct {
	classes indexedList[decision.Class]
	tenants indexedList[decision.Tenant] // one without a name where the settings have none
}

// indexedList is a list of the settings, with the items that were removed from it.
type indexedList[T any] struct {
	names   []string       // by index
	indexOf map[string]int // of the items that are in force
	items   []T            // by index
}

// update returns the list with other items in force; those with known names keep their
// index. The error names what is invalid.
func (l indexedList[T]) update(what string, names []string, items []T) (indexedList[T], error) {
	if len(names) != len(items) {
		return l, fmt.Errorf("%s: %d names for %d", what, len(names), len(items))
	}
	next := indexedList[T]{names: slices.Clone(l.names), items: slices.Clone(l.items), indexOf: make(map[string]int)}
	for i, name := range names {
		if _, duplicate := next.indexOf[name]; duplicate {
			return l, fmt.Errorf("%s: %q is there twice", what, name)
		}
		index := slices.Index(next.names, name)
		if index < 0 {
			index = len(next.names)
			next.names, next.items = append(next.names, name), append(next.items, items[i])
		}
		next.items[index], next.indexOf[name] = items[i], index
	}
	return next, nil
}

// update returns the table with other classes and tenants in force.
func (t settingsTable) update(s decision.Settings, classes, tenants []string) (next settingsTable, err error) {
	if len(classes) == 0 {
		return t, errors.New("classes: none, at least one is needed")
	}
	if slices.Contains(classes, "") || slices.Contains(tenants, "") {
		return t, errors.New("classes, tenants: one has no name")
	}
	if len(tenants) == 0 && len(s.Tenants) == 0 {
		tenants, s.Tenants = []string{""}, []decision.Tenant{{}}
	}
	if next.classes, err = t.classes.update("classes", classes, s.Classes); err != nil {
		return t, err
	}
	if next.tenants, err = t.tenants.update("tenants", tenants, s.Tenants); err != nil {
		return t, err
	}
	return next, nil
}

// tenantIndex returns the index of a request's tenant. Where the settings have no tenants,
// the name is ignored.
func (t *settingsTable) tenantIndex(name string) (index int, ok bool) {
	if index, ok = t.tenants.indexOf[""]; !ok {
		index, ok = t.tenants.indexOf[name]
	}
	return index, ok
}

// mayShareKeys reports whether attempts of one request may come in both classes. A class
// that was added later may be another one under a new name, and callers may change over to
// it between two attempts. Classes that were there from the start are known to differ.
func (c *Core) mayShareKeys(classA, classB string) bool {
	return classA == classB || !c.initialClasses[classA] || !c.initialClasses[classB]
}

// UpdateSettings puts other settings in force, with the names of their classes and tenants.
// Requests of removed classes are not accepted any more. After an error, which names what
// is invalid, nothing has changed.
func (c *Core) UpdateSettings(s decision.Settings, classes, tenants []string) error {
	result := make(chan error, 1)
	if err := c.enqueue(settingsUpdated{s, classes, tenants, result}); err != nil {
		return err
	}
	select {
	case err := <-result:
		return err
	case <-c.loop.done:
		return ErrStopped
	}
}

type settingsUpdated struct {
	settings decision.Settings
	classes  []string
	tenants  []string
	result   chan<- error
}

func (e settingsUpdated) apply(c *Core) {
	e.result <- c.applySettings(e.settings, e.classes, e.tenants)
}

func (c *Core) applySettings(s decision.Settings, classes, tenants []string) error {
	var current settingsTable
	if t := c.currentSettings.Load(); t != nil {
		current = *t
	}
	next, err := current.update(s, classes, tenants)
	if err != nil {
		return err
	}
	s.Classes, s.Tenants = next.classes.items, next.tenants.items
	s.DrainGrace = max(0, s.DrainGrace-drainNoticeDelay)
	if err := c.updateModule(s); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	former := c.settings
	c.settings = s
	c.currentSettings.Store(&next)
	c.settingsChanged(former)
	return nil
}

// updateModule has the module take other settings, or validates them if there is none yet.
func (c *Core) updateModule(s decision.Settings) (err error) {
	if c.module != nil {
		return c.module.UpdateSettings(c.now, s)
	}
	_, err = policy.New(s, c.options.Seed, host{c})
	return err
}

// settingsChanged brings up to date what follows from the settings.
func (c *Core) settingsChanged(former decision.Settings) {
	if c.settings.LoadReportMode != former.LoadReportMode { // the value has another meaning, or none
		c.loadReport.Store(nil)
	}
	if c.drain.draining { // other settings may end the grace sooner, not later
		c.drain.graceEnd = min(c.drain.graceEnd, c.drain.noticeAt+c.settings.DrainGrace)
	}
	for _, class := range c.settings.Classes {
		c.keys.AllowLateness(class.Deadline)
	}
	if c.settings.EndpointListOmitsUnhealthy != former.EndpointListOmitsUnhealthy && c.module != nil {
		c.reportToRegistrar()
	}
}
