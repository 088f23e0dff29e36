package config

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"quincerail.example/quincerail/internal/simwire"
)

// The platform's keys, each beside the term of the field that the code uses.
const (
	keyName             = "name"
	keyListen           = "listen"
	keyControlAddress   = "control"
	keyProcessor        = "processor"
	keyDiscoveryService = "announce"
	keySharedDependency = "ledger"
	keyStopTimeout      = "stop_ms"
	keySeed             = "seed"
	keyCores            = "limits.cores"
	keyMemory           = "limits.memory_mb"
	keyDescriptors      = "limits.sockets"
	keySettings         = "settings"
	keyClasses          = "lanes"               // in settings
	keyTenants          = "realms"              // in settings
	keyGaugeNames       = "familyInfo.ownStats" // in settings
	keyTenantShare      = "share"               // in a tenant
	keyTenantQuota      = "quotaRps"            // in a tenant
)

// isOptional reports whether some deployments leave the key at a path out.
func isOptional(path string) bool {
	return path == ".settings.familyInfo.passesDeadline" ||
		path == ".settings.prices.fleet" ||
		strings.HasSuffix(path, ".aimStretch")
}

// maxNumber bounds the numbers of the file, so that they don't overflow when their unit is
// converted.
const maxNumber = 1e12

var (
	errNotAnObject = errors.New("not a JSON object")
	errWantNumber  = errors.New("a number above 0 wanted")
	errWantText    = errors.New("a text wanted")
	errWantObject  = errors.New("an object wanted")
	errWantHex     = errors.New("a number in hex wanted")
	errWantUnique  = errors.New("a name of its own wanted")
	errWantAmount  = errors.New("a number of 0 or more wanted")
)

// reader reads typed values of a JSON text and keeps the first error.
type reader struct {
	text string
	err  error
}

func (r *reader) fail(key string, problem error) {
	if r.err == nil {
		r.err = &KeyError{key, problem}
	}
}

// string returns a text that is not empty.
func (r *reader) string(key string) string {
	value := gjson.Get(r.text, key)
	if value.Type != gjson.String || value.Str == "" {
		r.fail(key, errWantText)
	}
	return value.Str
}

// number returns a number above 0.
func (r *reader) number(key string) float64 {
	value := gjson.Get(r.text, key)
	if value.Type != gjson.Number || !(value.Num > 0 && value.Num < maxNumber) {
		r.fail(key, errWantNumber)
	}
	return value.Num
}

// seed returns a number in hex.
func (r *reader) seed(key string) int64 {
	seed, err := strconv.ParseUint(r.string(key), 16, 64)
	if err != nil {
		r.fail(key, errWantHex)
	}
	return int64(seed)
}

// Parse reads a configuration. The error is a *KeyError.
func Parse(text string) (*Config, error) {
	if !gjson.Valid(text) || !gjson.Parse(text).IsObject() {
		return nil, &KeyError{EnvFile, errNotAnObject}
	}
	r := &reader{text: text}
	c := &Config{
		text:              text,
		Name:              r.string(keyName),
		ListenAddress:     r.string(keyListen),
		ProcessorAddress:  r.string(keyProcessor),
		DiscoveryAddress:  r.string(keyDiscoveryService),
		DependencyAddress: r.string(keySharedDependency),
		ControlAddress:    gjson.Get(text, keyControlAddress).String(),
		StopTimeout:       time.Duration(r.number(keyStopTimeout) * float64(time.Millisecond)),
		Cores:             r.number(keyCores),
		MemoryMB:          int(r.number(keyMemory)),
		MaxDescriptors:    int(r.number(keyDescriptors)),
		Seed:              r.seed(keySeed),
	}
	settings := gjson.Get(text, keySettings)
	if !settings.IsObject() {
		r.fail(keySettings, errWantObject)
	}
	if r.err != nil {
		return nil, r.err
	}
	if err := c.readSettings(settings); err != nil {
		return nil, err
	}
	return c, nil
}

// readSettings reads the settings, which the decision module gets, and the names of the
// classes, tenants and gauges in them.
func (c *Config) readSettings(settings gjson.Result) error {
	var err error
	if c.Settings, err = simwire.Settings(settings.Raw); err != nil {
		return &KeyError{keySettings, err}
	}
	c.Settings.CacheTTL = 0 // no deployment asks for reads to share results
	for _, class := range settings.Get(keyClasses).Array() {
		c.Classes = append(c.Classes, class.Get(keyName).String())
	}
	if c.Tenants, err = readTenants(settings); err != nil {
		return err
	}
	// The error of Validate names classes and tenants by their index in the file.
	if err := c.Settings.Validate(); err != nil {
		return &KeyError{keySettings, err}
	}
	for _, name := range settings.Get(keyGaugeNames).Array() {
		c.Gauges = append(c.Gauges, name.String())
	}
	return nil
}

// maxShareError is how far the sum of the tenants' shares may be from 1: they are rounded.
const maxShareError = 0.02

// readTenants returns the names of the tenants. Each needs a share and a quota, and
// the shares must add up to the whole service.
func readTenants(settings gjson.Result) (names []string, err error) {
	sum := 0.0
	for i, tenant := range settings.Get(keyTenants).Array() {
		path := fmt.Sprintf("%s.%s.%d.", keySettings, keyTenants, i)
		name := tenant.Get(keyName)
		if name.Type != gjson.String || name.Str == "" || slices.Contains(names, name.Str) {
			return nil, &KeyError{path + keyName, errWantUnique}
		}
		names = append(names, name.Str)
		for _, key := range []string{keyTenantShare, keyTenantQuota} {
			value := tenant.Get(key)
			if value.Type != gjson.Number || !(value.Num >= 0 && value.Num < maxNumber) {
				return nil, &KeyError{path + key, errWantAmount}
			}
		}
		sum += tenant.Get(keyTenantShare).Num
	}
	if len(names) > 0 && math.Abs(sum-1) > maxShareError {
		return nil, keyErrorf(keySettings+"."+keyTenants, "the shares add up to %.3f, 1 wanted", sum)
	}
	return names, nil
}
