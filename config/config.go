// Package config reads and validates the files that the server loads at its start and at a
// reload: the platform's configuration (JSON) and the uwsgi frontend's file (TOML).
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

// EnvFile is the environment variable with the path of the configuration file.
const EnvFile = "GW_CONFIG"

// Further environment variables that the platform sets for a process.
const (
	envControlAddress = "GW_CONTROL" // address for operators' commands, which differs at each start
	envListenFD       = "GW_FD"      // descriptor of an inherited listening socket
)

// minInheritedFD is the first descriptor after those of the standard streams.
const minInheritedFD = 3

// Config is a server's configuration. Load and Parse fill in the platform's part. The caller
// sets the operator's part.
type Config struct {
	// From the platform.
	Name              string // of this process, in reports to the discovery service and in its log
	ListenAddress     string // for balancers
	ListenFD          int    // descriptor of the inherited listening socket; 0 to listen on ListenAddress
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
	Tenants           []string // names, in the order of the settings; nil if there are none
	Gauges            []string // names, in the order in which the processor sends them
	Settings          decision.Settings

	// From the operator.
	Rules            *match.Set    // classification rules; nil for none
	KeysDir          string        // directory of the idempotency journal; "" keeps keys in memory
	KeysSync         string        // when the journal syncs, as store.SyncPolicy: always or never; "" for always
	Logger           *slog.Logger  // nil for slog.Default()
	MetricsAddress   string        // for /metrics; "" for none
	OperatorsAddress string        // for the operators' HTTP requests about the fleet; "" for none
	Fleet            *fleet.Config // this process's membership in its fleet; nil for no fleet

	text string // the JSON text that was parsed
}

// The platform may kill the process before stop_ms has passed: killMargin after the longest
// deadline of the classes, which counts as maxKillDeadline if it is longer than that.
const (
	maxKillDeadline = 3 * time.Second
	killMargin      = 700 * time.Millisecond
)

// KillDelay returns the shortest time from SIGTERM until the platform may kill the process.
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
			return nil, keyErrorf(envListenFD, "%q is not a file descriptor of at least %d", fd, minInheritedFD)
		}
	}
	return c, nil
}

// WithPatch returns a copy whose settings are changed by a JSON merge patch (RFC 7396). The
// operator's part and the values from the environment stay. For an empty patch it returns c
// itself. The error is a *KeyError.
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

// copyNonFileFields copies the fields that don't come from the configuration file: the
// operator's part, and the values that Load reads from the environment.
func (c *Config) copyNonFileFields(from *Config) {
	c.ControlAddress, c.ListenFD = from.ControlAddress, from.ListenFD
	c.Rules, c.Logger, c.Fleet = from.Rules, from.Logger, from.Fleet
	c.KeysDir, c.KeysSync = from.KeysDir, from.KeysSync
	c.MetricsAddress, c.OperatorsAddress = from.MetricsAddress, from.OperatorsAddress
}

// errKeyMissing reports that a key of the active configuration is missing.
var errKeyMissing = errors.New("the key is missing, but the active configuration has it")

// CheckComplete returns a *KeyError if c lacks a key that the active configuration has. The
// items of a list must have the keys of the active list's first item, whatever the lengths.
func (c *Config) CheckComplete(active *Config) error {
	if key := c.missingKey(active); key != "" {
		return &KeyError{key, errKeyMissing}
	}
	return nil
}

// CheckClasses returns a *KeyError if c lacks a class of the other configuration, which the
// rules or the uwsgi frontend may assign to requests.
func (c *Config) CheckClasses(other *Config) error {
	for _, name := range other.Classes {
		if !slices.Contains(c.Classes, name) {
			return keyErrorf(keySettings+"."+keyClasses, "class %q is missing, but the rules or the uwsgi frontend may assign it", name)
		}
	}
	return nil
}

// RestartKeys returns the keys that differ from the active configuration and take effect only
// after a restart.
func (c *Config) RestartKeys(active *Config) []string {
	var keys []string
	for _, k := range []struct {
		key     string
		changed bool
	}{
		{keyName, c.Name != active.Name},
		{keyListen, c.ListenAddress != active.ListenAddress},
		{keyControlAddress, c.ControlAddress != active.ControlAddress},
		{keyDescriptors, c.MaxDescriptors != active.MaxDescriptors},
		{keySettings + "." + keyGaugeNames, !slices.Equal(c.Gauges, active.Gauges)},
	} {
		if k.changed {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// missingKey returns the path of the first key that the other configuration has and c lacks,
// "" if there is none.
func (c *Config) missingKey(other *Config) string {
	key := missingIn(gjson.Parse(c.text), gjson.Parse(other.text), "")
	return strings.TrimPrefix(key, ".")
}

// missingIn returns the path of the first key that reference has and value lacks, "" if there
// is none. path is the path of both values. Keys that deployments may leave out don't count.
func missingIn(value, reference gjson.Result, path string) string {
	if reference.IsArray() && value.IsArray() && reference.Get("0").IsObject() {
		return missingInItems(value, reference.Get("0"), path)
	}
	if !reference.IsObject() {
		return ""
	}
	missing := ""
	members := value.Map()
	reference.ForEach(func(name, referenceMember gjson.Result) bool {
		memberPath := path + "." + name.String()
		if isOptional(memberPath) {
			return true
		}
		member, ok := members[name.String()]
		if !ok || member.Type == gjson.Null && referenceMember.Type != gjson.Null {
			missing = memberPath
		} else {
			missing = missingIn(member, referenceMember, memberPath)
		}
		return missing == ""
	})
	return missing
}

// missingInItems calls missingIn for the items of a list until one lacks a key, and returns that
// key's path, "" if there is none. All items need the same keys, those of reference.
func missingInItems(list, reference gjson.Result, path string) string {
	for i, item := range list.Array() {
		if missing := missingIn(item, reference, fmt.Sprintf("%s.%d", path, i)); missing != "" {
			return missing
		}
	}
	return ""
}
