// Package server wires the app server together: its configuration, the links
// to the parties around it, the fronts, signals and the way out.
package server

import (
	"cmp"
	"fmt"
	"log/slog"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/fleet"
	"quincerail.example/quincerail/internal/simwire"
	"quincerail.example/quincerail/match"
)

// Config is what the app server is told.
type Config struct {
	Name, Listen                string
	Control                     string // where operators call; may be empty
	ListenFD                    int    // the listening socket, where it is inherited; else 0
	Processor, Announce, Ledger string
	Seed                        int64
	Stop                        time.Duration // from the notice to leave to the kill
	Cores                       float64
	MemoryMB                    int
	Sockets                     int
	Classes                     []string
	Tenants                     []string
	Settings                    decision.Settings
	Gauges                      []string      // names, in the order in which the processor gives them
	Rules                       *match.Set    // of the operator's rule file, where there is one; nil for none
	KeysDir                     string        // where the keys that ran outlive the process; "" keeps them in memory
	KeysSync                    string        // always or never, as store.SyncPolicy; "" for always
	Logger                      *slog.Logger  // nil for slog.Default()
	MetricsListen               string        // the operator's listener for /metrics; "" for none
	OperatorsListen             string        // where operators call about the fleet; "" for none
	Fleet                       *fleet.Config // what this process does in its fleet; nil for nothing
	text                        string
}

// The earliest that the process may be killed after the notice to leave, whatever the
// configuration's stop_ms: the longest deadline, counted as earliestKillDeadline where it
// is longer, and a margin.
const (
	earliestKillDeadline = 3 * time.Second
	earliestKillMargin   = 700 * time.Millisecond
)

// stopAfter is how long after the notice to leave the process may be killed.
func (c *Config) stopAfter() time.Duration {
	var longest time.Duration
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(c.Stop, min(longest, earliestKillDeadline)+earliestKillMargin)
}

// lacks names the first key that another configuration has and this one lacks,
// in a part that both have; "" if there is none.
func (c *Config) lacks(other *Config) string {
	return lacking("", gjson.Parse(other.text), gjson.Parse(c.text))
}

func lacking(at string, has, in gjson.Result) (key string) {
	if has.IsArray() && in.IsArray() && has.Get("0").IsObject() { // a list of the like
		for i, item := range in.Array() {
			if key = lacking(fmt.Sprintf("%s.%d", at, i), has.Get("0"), item); key != "" {
				break
			}
		}
		return strings.TrimPrefix(key, ".")
	}
	if !has.IsObject() {
		return ""
	}
	parts := in.Map()
	has.ForEach(func(name, value gjson.Result) bool {
		path := at + "." + name.String()
		if mayLack(path) {
			return true
		}
		if part, ok := parts[name.String()]; !ok || part.Type == gjson.Null && value.Type != gjson.Null {
			key = path
		} else {
			key = lacking(path, value, part)
		}
		return key == ""
	})
	return strings.TrimPrefix(key, ".")
}

// mayLack tells whether a key is one that some deployments leave out.
func mayLack(path string) bool {
	return path == ".settings.familyInfo.passesDeadline" || path == ".settings.prices.fleet" || strings.HasSuffix(path, ".aimStretch")
}

// LoadConfig reads the configuration file. An error names the key at fault.
func LoadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	c, err := ParseConfig(string(text))
	if err != nil {
		return nil, err
	}
	c.Control = cmp.Or(os.Getenv("GW_CONTROL"), c.Control) // new with each start
	if fd := os.Getenv("GW_FD"); fd != "" {
		if c.ListenFD, err = strconv.Atoi(fd); err != nil || c.ListenFD < 3 {
			return nil, fmt.Errorf("GW_FD: %q, a descriptor's number wanted", fd)
		}
	}
	return c, nil
}

// ParseConfig reads a configuration. An error names the key at fault.
func ParseConfig(text string) (*Config, error) {
	if !gjson.Valid(text) || !gjson.Parse(text).IsObject() {
		return nil, fmt.Errorf("GW_CONFIG: not a JSON object")
	}
	var err error
	fault := func(key, want string) {
		if err == nil {
			err = fmt.Errorf("%s: %s wanted", key, want)
		}
	}
	str := func(key string) string {
		v := gjson.Get(text, key)
		if v.Type != gjson.String || v.Str == "" {
			fault(key, "a text")
		}
		return v.Str
	}
	num := func(key string) float64 {
		v := gjson.Get(text, key)
		if v.Type != gjson.Number || !(v.Num > 0 && v.Num < 1e12) {
			fault(key, "a number above 0")
		}
		return v.Num
	}
	c := &Config{
		Name: str("name"), Listen: str("listen"), Processor: str("processor"),
		Announce: str("announce"), Ledger: str("ledger"), Control: gjson.Get(text, "control").String(),
		Stop: time.Duration(num("stop_ms") * float64(time.Millisecond)),
		text: text, Cores: num("limits.cores"), MemoryMB: int(num("limits.memory_mb")), Sockets: int(num("limits.sockets")),
	}
	seed, e := strconv.ParseUint(str("seed"), 16, 64)
	if e != nil {
		fault("seed", "a number in hex")
	}
	c.Seed = int64(seed)
	settings := gjson.Get(text, "settings")
	if !settings.IsObject() {
		fault("settings", "an object")
	}
	if err != nil {
		return nil, err
	}
	if c.Settings, err = simwire.Settings(settings.Raw); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c.Settings.CacheTTL = 0 // reads are not shared here: no site asks for it
	for _, lane := range settings.Get("lanes").Array() {
		c.Classes = append(c.Classes, lane.Get("name").String())
	}
	if c.Tenants, err = tenants(settings); err != nil {
		return nil, err
	}
	if err = c.Settings.Validate(); err != nil { // here by the file's order of classes and tenants, not by their places
		return nil, fmt.Errorf("settings: %w", err)
	}
	for _, name := range settings.Get("familyInfo.ownStats").Array() {
		c.Gauges = append(c.Gauges, name.String())
	}
	return c, nil
}

// sharesOff is how far the tenants' shares may be from one in all: they are rounded.
const sharesOff = 0.02

// tenants gives the names of the tenants, and sees that each has a share and a quota
// and that the shares add up to the whole service.
func tenants(settings gjson.Result) (names []string, err error) {
	sum := 0.0
	for i, realm := range settings.Get("realms").Array() {
		at := fmt.Sprintf("settings.realms.%d.", i)
		name := realm.Get("name")
		if name.Type != gjson.String || name.Str == "" || slices.Contains(names, name.Str) {
			return nil, fmt.Errorf("%sname: a name of its own wanted", at)
		}
		names = append(names, name.Str)
		for _, key := range []string{"share", "quotaRps"} {
			if v := realm.Get(key); v.Type != gjson.Number || !(v.Num >= 0 && v.Num < 1e12) {
				return nil, fmt.Errorf("%s%s: a number of 0 or more wanted", at, key)
			}
		}
		sum += realm.Get("share").Num
	}
	if len(names) > 0 && math.Abs(sum-1) > sharesOff {
		return nil, fmt.Errorf("settings.realms: the shares add up to %.3f, 1 wanted", sum)
	}
	return names, nil
}
