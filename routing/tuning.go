package routing

import (
	"fmt"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/policy"
)

// tuning is the classes in force. A class keeps its place for good, so that what
// is open keeps its class whatever comes.
type tuning struct {
	names   []string       // by place; also of classes that were dropped
	taken   map[string]int // place of each class that requests may have
	classes []decision.Class
}

// kin tells whether tries of one request may come in both classes. A class that
// came later may be another under a new name, and callers go over to it between two
// tries. Those that were there from the start are no such pair.
func (c *Core) kin(a, b string) bool { return a == b || !c.first[a] || !c.first[b] }

// Retune takes over other settings, with the names of their classes: from then on
// classes that are new are taken, and those that are gone are not. An error names
// what makes no sense, and nothing has changed then.
func (c *Core) Retune(s decision.Settings, names []string) error {
	result := make(chan error, 1)
	if err := c.post(func() { result <- c.retune(s, names) }); err != nil {
		return err
	}
	select {
	case err := <-result:
		return err
	case <-c.done:
		return ErrStopped
	}
}

func (c *Core) retune(s decision.Settings, names []string) error {
	if len(names) == 0 || len(names) != len(s.Classes) {
		return fmt.Errorf("classes: %d names for %d", len(names), len(s.Classes))
	}
	// What comes in the last moments of the grace, as it is seen here, may have
	// come after it as the sender of the notice sees it.
	s.DrainGrace = max(0, s.DrainGrace-noticeLate)
	t := &tuning{taken: make(map[string]int)}
	places := make(map[string]int)
	if was := c.tuned.Load(); was != nil {
		t.names, t.classes = append(t.names, was.names...), append(t.classes, was.classes...)
	}
	for i, name := range t.names {
		places[name] = i
	}
	for i, name := range names {
		if _, twice := t.taken[name]; twice || name == "" {
			return fmt.Errorf("classes: %q is empty or there twice", name)
		}
		place, known := places[name]
		if !known {
			place = len(t.names)
			t.names, t.classes = append(t.names, name), append(t.classes, s.Classes[i])
		}
		t.classes[place], t.taken[name] = s.Classes[i], place
	}
	s.Classes = t.classes
	var err error
	if c.module != nil {
		err = c.module.Retune(c.now, s)
	} else {
		_, err = policy.New(s, c.opt.Seed, host{c})
	}
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.set = s
	for _, class := range s.Classes {
		c.keys.late = max(c.keys.late, class.Deadline)
	}
	c.tuned.Store(t)
	return nil
}
