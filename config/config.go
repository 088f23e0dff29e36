// Package config reads and validates what the server is told at its start and at
// a reload: the platform's configuration (JSON) and the uwsgi front's file (TOML).
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/tidwall/gjson"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/fleet"
	"quincerail.example/quincerail/match"
)

// EnvFile is the environment variable with the path of the configuration.
const EnvFile = "GW_CONFIG"

// Further environment variables that the platform sets for a process.
const (
	envControlAddress = "GW_CONTROL" // address for operators' commands, new with each start
	envListenFD       = "GW_FD"      // descriptor of an inherited listening socket
)

// minInheritedFD is the first descriptor behind those of the standard streams.
const minInheritedFD = 3

// Config is a server's configuration. Load and Parse fill in the platform's part; the caller
// adds the operator's choices.
type Config struct {
	// From the platform.
	Name              string // of this process in reports to the discovery service, and in its log
	ListenAddress     string // for balancers
	ListenFD          int    // the inherited listening socket; 0 to open one at ListenAddress
	ControlAddress    string // for operators' commands; "" for none
	ProcessorAddress  string
	DiscoveryAddress  string // of the discovery service
	DependencyAddress string // of the shared dependency
	Seed              int64
	StopTimeout       time.Duration // from SIGTERM to SIGKILL
	Cores             float64
	MemoryMB          int
	MaxDescriptors    int
	Classes           []string // names, in the order of the settings
	Tenants           []string // likewise; nil where there are none
	Gauges            []string // names, in the order in which the processor sends them
	Settings          decision.Settings

	// From the operator.
	Rules            *match.Set    // classification rules; nil for none
	KeysDir          string        // directory of the idempotency journal; "" keeps keys in memory
	KeysSync         string        // always or never, as store.SyncPolicy; "" for always
	Logger           *slog.Logger  // nil for slog.Default()
	MetricsAddress   string        // for /metrics; "" for none
	OperatorsAddress string        // for the operators' HTTP requests about the fleet; "" for none
	Fleet            *fleet.Config // this process's part in its fleet; nil for no fleet

	text string // the JSON that it was parsed from
}

// The platform may kill the process earlier than the configuration's stop_ms says: killMargin
// after the longest deadline of a class, of which at most maxKillDeadline count.
const (
	maxKillDeadline = 3 * time.Second
	killMargin      = 700 * time.Millisecond
)

// KillDelay returns how long after SIGTERM the process may be killed at the earliest.
func (c *Config) KillDelay() time.Duration {
	var longest time.Duration
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(c.StopTimeout, min(longest, maxKillDeadline)+killMargin)
}

// Load reads the configuration file, and the environment variables GW_CONTROL and GW_FD.
// The error is a *KeyError.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &KeyError{EnvFile, err}
	}
	c, err := Parse(string(text))
	if err != nil {
		return nil, err
	}
	c.ControlAddress = cmp.Or(os.Getenv(envControlAddress), c.ControlAddress)
	if fd := os.Getenv(envListenFD); fd != "" {
		if c.ListenFD, err = strconv.Atoi(fd); err != nil || c.ListenFD < minInheritedFD {
			return nil, keyErrorf(envListenFD, "%q, a descriptor's number wanted", fd)
		}
	}
	return c, nil
}

// WithPatch returns a copy whose settings are changed by a JSON merge patch (RFC 7396). What
// comes from the operator and the environment stays. For an empty patch it returns c itself.
// The error is a *KeyError.
func (c *Config) WithPatch(patch json.RawMessage) (*Config, error) {
	if len(patch) == 0 {
		return c, nil
	}
	wrapped, err := json.Marshal(map[string]json.RawMessage{keySettings: patch})
	if err != nil {
		return nil, &KeyError{keySettings, err}
	}
	text, err := jsonpatch.MergePatch([]byte(c.text), wrapped)
	if err != nil {
		return nil, &KeyError{keySettings, err}
	}
	patched, err := Parse(string(text))
	if err != nil {
		return nil, err
	}
	if err := patched.CheckComplete(c); err != nil {
		return nil, err
	}
	patched.copyNonFileFields(c)
	return patched, nil
}

// copyNonFileFields copies what does not come from the configuration file: the operator's
// choices, and what Load reads from the environment.
func (c *Config) copyNonFileFields(from *Config) {
	c.ControlAddress, c.ListenFD = from.ControlAddress, from.ListenFD
	c.Rules, c.Logger, c.Fleet = from.Rules, from.Logger, from.Fleet
	c.KeysDir, c.KeysSync = from.KeysDir, from.KeysSync
	c.MetricsAddress, c.OperatorsAddress = from.MetricsAddress, from.OperatorsAddress
}

// errKeyMissing reports that a key is missing that the configuration in force has.
var errKeyMissing = errors.New("it is missing")

// CheckComplete returns a *KeyError if a key is missing that the configuration in
// force has, in a part of the file that both have.
func (c *Config) CheckComplete(inForce *Config) error {
	if key := c.missingKey(inForce); key != "" {
		return &KeyError{key, errKeyMissing}
	}
	return nil
}

// CheckClasses returns a *KeyError if a class of the other configuration is missing,
// which the rules or the uwsgi front may give to requests.
func (c *Config) CheckClasses(other *Config) error {
	for _, name := range other.Classes {
		if !slices.Contains(c.Classes, name) {
			return keyErrorf(keySettings+"."+keyClasses, "%s is missing, and the rules or the uwsgi front may lead to it", name)
		}
	}
	return nil
}

// RestartKeys returns the keys that differ from the configuration in force and take effect
// only after a restart.
func (c *Config) RestartKeys(inForce *Config) []string {
	var keys []string
	for _, k := range []struct {
		key     string
		changed bool
	}{
		{keyName, c.Name != inForce.Name},
		{keyListen, c.ListenAddress != inForce.ListenAddress},
		{keyControlAddress, c.ControlAddress != inForce.ControlAddress},
		{keyDescriptors, c.MaxDescriptors != inForce.MaxDescriptors},
		{keySettings + "." + keyGaugeNames, !slices.Equal(c.Gauges, inForce.Gauges)},
	} {
		if k.changed {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// missingKey returns the path of the first key that the other configuration has and this one
// lacks, "" for none.
func (c *Config) missingKey(other *Config) string {
	key := missingIn(gjson.Parse(c.text), gjson.Parse(other.text), "")
	return strings.TrimPrefix(key, ".")
}

// missingIn returns the path of the first key that reference has and value lacks.
// Both stand at the given path.
func missingIn(value, reference gjson.Result, path string) string {
	if reference.IsArray() && value.IsArray() && reference.Get("0").IsObject() {
		return missingInItems(value, reference.Get("0"), path)
	}
	if !reference.IsObject() {
		return ""
	}
	missing := ""
	members := value.Map()
	reference.ForEach(func(name, wanted gjson.Result) bool {
		memberPath := path + "." + name.String()
		if isOptional(memberPath) {
			return true
		}
		member, ok := members[name.String()]
		if !ok || member.Type == gjson.Null && wanted.Type != gjson.Null {
			missing = memberPath
		} else {
			missing = missingIn(member, wanted, memberPath)
		}
		return missing == ""
	})
	return missing
}

// missingInItems is missingIn for each item of a list, whose items are alike.
func missingInItems(list, reference gjson.Result, path string) string {
	for i, item := range list.Array() {
		if missing := missingIn(item, reference, fmt.Sprintf("%s.%d", path, i)); missing != "" {
			return missing
		}
	}
	return ""
}
