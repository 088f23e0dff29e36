package dispatch

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/policy"
)

// drainNoticeDelay is the longest time between the sending of a drain notice and its receipt
// by a busy core. DrainGrace counts from the receipt and is shortened by this delay, so that it
// does not end later than a grace that counts from the sending.
const drainNoticeDelay = 30 * time.Millisecond

// settingsTable holds the classes and tenants in force. Each keeps its index for the life of
// the core, so that the indexes of open requests stay valid when the settings change.
type settingsTable struct {
	classes indexedList[decision.Class]
	tenants indexedList[decision.Tenant] // a single one with an empty name if the settings have none
}

// indexedList is a list of the settings that also keeps its removed items.
type indexedList[T any] struct {
	names   []string       // by index
	indexOf map[string]int // of the items in force, by name
	items   []T            // by index
}

// update returns the list with new items in force. Items whose names the list has had before
// keep their index. The error names the list and the fault.
func (l indexedList[T]) update(listName string, names []string, items []T) (indexedList[T], error) {
	if len(names) != len(items) {
		return l, fmt.Errorf("%s: got %d names for %d entries", listName, len(names), len(items))
	}
	next := indexedList[T]{names: slices.Clone(l.names), items: slices.Clone(l.items), indexOf: make(map[string]int)}
	for i, name := range names {
		if _, duplicate := next.indexOf[name]; duplicate {
			return l, fmt.Errorf("%s: duplicate name %q", listName, name)
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

// update returns the table with new classes and tenants in force.
func (t settingsTable) update(s decision.Settings, classes, tenants []string) (next settingsTable, err error) {
	if len(classes) == 0 {
		return t, errors.New("classes: at least one class is required")
	}
	if slices.Contains(classes, "") || slices.Contains(tenants, "") {
		return t, errors.New("classes or tenants: a name is empty")
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

// tenantIndex returns the index of a request's tenant; ok is false if the tenant is unknown.
// The name is ignored if the settings have no tenants.
func (t *settingsTable) tenantIndex(name string) (index int, ok bool) {
	if index, ok = t.tenants.indexOf[""]; !ok {
		index, ok = t.tenants.indexOf[name]
	}
	return index, ok
}

// mayShareKeys reports whether attempts of one request may arrive in both classes. A class
// that was added by a settings update may be a renamed one, to which callers switch between
// two attempts. Two classes that the core was created with are known to differ.
func (c *Core) mayShareKeys(classA, classB string) bool {
	return classA == classB || !c.initialClasses[classA] || !c.initialClasses[classB]
}

// UpdateSettings puts new settings in force, with the names of their classes and tenants.
// Requests of removed classes or tenants are no longer accepted. It returns ErrStopped, or an
// error that names the invalid setting; in that case the former settings stay in force.
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
	previous := c.settings
	c.settings = s
	c.currentSettings.Store(&next)
	c.updateDerivedState(previous)
	return nil
}

// updateModule passes new settings to the module, or only validates them if there is none yet.
func (c *Core) updateModule(s decision.Settings) (err error) {
	if c.module != nil {
		return c.module.UpdateSettings(c.now, s)
	}
	_, err = policy.New(s, c.options.Seed, host{c})
	return err
}

// updateDerivedState updates the state that depends on the settings.
func (c *Core) updateDerivedState(previous decision.Settings) {
	if c.settings.LoadReportMode != previous.LoadReportMode { // the value has a new meaning, or none
		c.loadReport.Store(nil)
	}
	if c.drain.draining { // new settings may only shorten the grace
		c.drain.graceEnd = min(c.drain.graceEnd, c.drain.noticeAt+c.settings.DrainGrace)
	}
	for _, class := range c.settings.Classes {
		c.keys.AllowLateness(class.Deadline)
	}
	if c.settings.EndpointListOmitsUnhealthy != previous.EndpointListOmitsUnhealthy && c.module != nil {
		c.reportToRegistrar()
	}
}
