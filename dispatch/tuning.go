package dispatch

import (
	"errors"
	"fmt"
	"slices"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/policy"
)

// settingsTable is the classes and tenants in force. Each keeps its place for good, so that
// what is open keeps its own whatever comes.
type settingsTable struct {
	classes indexedList[decision.Class]
	tenants indexedList[decision.Tenant] // one without a name where the settings have none
}

// indexedList is a list of the settings with what was dropped from it.
type indexedList[T any] struct {
	names   []string       // by place; also of what was dropped
	indexOf map[string]int // place of each that requests may have
	items   []T
}

// update gives the table in which others follow, those with known names in their
// places. An error names what makes no sense.
func (t indexedList[T]) update(what string, names []string, items []T) (indexedList[T], error) {
	if len(names) != len(items) {
		return t, fmt.Errorf("%s: %d names for %d", what, len(names), len(items))
	}
	next := indexedList[T]{names: slices.Clone(t.names), items: slices.Clone(t.items), indexOf: make(map[string]int)}
	for i, name := range names {
		if _, twice := next.indexOf[name]; twice {
			return t, fmt.Errorf("%s: %q is there twice", what, name)
		}
		place := slices.Index(next.names, name)
		if place < 0 {
			place = len(next.names)
			next.names, next.items = append(next.names, name), append(next.items, items[i])
		}
		next.items[place], next.indexOf[name] = items[i], place
	}
	return next, nil
}

// tenant gives the place of a request's tenant. Where there are none, its name
// means nothing.
func (t *settingsTable) tenant(name string) (place int, ok bool) {
	if place, ok = t.tenants.indexOf[""]; !ok {
		place, ok = t.tenants.indexOf[name]
	}
	return place, ok
}

// sameRequestClass tells whether tries of one request may come in both classes. A class that
// came later may be another under a new name, and callers go over to it between two
// tries. Those that were there from the start are no such pair.
func (c *Core) sameRequestClass(a, b string) bool {
	return a == b || !c.initialClasses[a] || !c.initialClasses[b]
}

// UpdateSettings takes over other settings, with the names of their classes and tenants: from
// then on those that are new are taken, and those that are gone are not. An error
// names what makes no sense, and nothing has changed then.
func (c *Core) UpdateSettings(s decision.Settings, classes, tenants []string) error {
	result := make(chan error, 1)
	if err := c.enqueue(func() { result <- c.applySettings(s, classes, tenants) }); err != nil {
		return err
	}
	select {
	case err := <-result:
		return err
	case <-c.done:
		return ErrStopped
	}
}

func (c *Core) applySettings(s decision.Settings, classes, tenants []string) error {
	if len(classes) == 0 {
		return errors.New("classes: none, at least one is needed")
	}
	if slices.Contains(classes, "") || slices.Contains(tenants, "") {
		return errors.New("classes, tenants: one has no name")
	}
	// What comes in the last moments of the grace, as it is seen here, may have
	// come after it as the sender of the notice sees it.
	s.DrainGrace = max(0, s.DrainGrace-drainNoticeDelay)
	if len(tenants) == 0 && len(s.Tenants) == 0 {
		tenants, s.Tenants = []string{""}, []decision.Tenant{{}}
	}
	var was, t settingsTable
	if in := c.currentSettings.Load(); in != nil {
		was = *in
	}
	var err error
	if t.classes, err = was.classes.update("classes", classes, s.Classes); err != nil {
		return err
	}
	if t.tenants, err = was.tenants.update("tenants", tenants, s.Tenants); err != nil {
		return err
	}
	s.Classes, s.Tenants = t.classes.items, t.tenants.items
	if c.module != nil {
		err = c.module.UpdateSettings(c.now, s)
	} else {
		_, err = policy.New(s, c.options.Seed, host{c})
	}
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if s.LoadReportMode != c.settings.LoadReportMode { // what was said has another meaning, or none
		c.loadReport.Store(nil)
	}
	if c.draining { // other settings may end the grace sooner, not later
		c.graceEnd = min(c.graceEnd, c.drainNoticeAt+s.DrainGrace)
	}
	follows := s.ListFollowsHealth != c.settings.ListFollowsHealth
	c.settings = s
	for _, class := range s.Classes {
		c.keys.AllowLateness(class.Deadline)
	}
	c.currentSettings.Store(&t)
	if follows && c.module != nil {
		c.reportToRegistrar()
	}
	return nil
}
