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

// Keys of the platform's configuration. The constants' names use the terms of the code.
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

// isOptional reports whether deployments may leave out the key at a path.
func isOptional(path string) bool {
	return path == ".settings.familyInfo.passesDeadline" ||
		path == ".settings.prices.fleet" ||
		strings.HasSuffix(path, ".aimStretch")
}

// maxNumber is an exclusive upper bound on the numbers in the file. It prevents an overflow
// when their unit is converted.
const maxNumber = 1e12

var (
	errFileNotObject     = errors.New("the configuration is not a JSON object")
	errNotPositive       = errors.New("must be a number that is above 0 and below 1e12")
	errNotText           = errors.New("must be a non-empty string")
	errNotObject         = errors.New("must be a JSON object")
	errNotHex            = errors.New("must be a hexadecimal number of up to 64 bits")
	errNotUniqueName     = errors.New("must be a non-empty string that no other tenant has")
	errNotZeroOrPositive = errors.New("must be a number that is at least 0 and below 1e12")
)

// reader reads typed values from a JSON text and keeps the first error.
type reader struct {
	text string
	err  error
}

func (r *reader) fail(key string, reason error) {
	if r.err == nil {
		r.err = &KeyError{key, reason}
	}
}

// string returns the value of key, which must be a non-empty string.
func (r *reader) string(key string) string {
	value := gjson.Get(r.text, key)
	if value.Type != gjson.String || value.Str == "" {
		r.fail(key, errNotText)
	}
	return value.Str
}

// number returns the value of key, which must be a number above 0 and below maxNumber.
func (r *reader) number(key string) float64 {
	value := gjson.Get(r.text, key)
	if value.Type != gjson.Number || !(value.Num > 0 && value.Num < maxNumber) {
		r.fail(key, errNotPositive)
	}
	return value.Num
}

// seed returns the value of key, which must be a string with a hexadecimal number of up to 64
// bits.
func (r *reader) seed(key string) int64 {
	seed, err := strconv.ParseUint(r.string(key), 16, 64)
	if err != nil {
		r.fail(key, errNotHex)
	}
	return int64(seed)
}

// Parse reads the platform's configuration from its JSON text. The error is a *KeyError.
func Parse(text string) (*Config, error) {
	if !gjson.Valid(text) || !gjson.Parse(text).IsObject() {
		return nil, &KeyError{EnvFile, errFileNotObject}
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
		r.fail(keySettings, errNotObject)
	}
	if r.err != nil {
		return nil, r.err
	}
	if err := c.readSettings(settings); err != nil {
		return nil, err
	}
	return c, nil
}

// readSettings reads the settings of the decision module, and the names of the classes,
// tenants and gauges in them.
func (c *Config) readSettings(settings gjson.Result) error {
	var err error
	if c.Settings, err = simwire.Settings(settings.Raw); err != nil {
		return &KeyError{keySettings, err}
	}
	c.Settings.CacheTTL = 0 // no deployment enables caching of read results
	for _, class := range settings.Get(keyClasses).Array() {
		c.Classes = append(c.Classes, class.Get(keyName).String())
	}
	if c.Tenants, err = readTenants(settings); err != nil {
		return err
	}
	// The errors of Validate identify classes and tenants by their index in the file.
	if err := c.Settings.Validate(); err != nil {
		return &KeyError{keySettings, err}
	}
	for _, name := range settings.Get(keyGaugeNames).Array() {
		c.Gauges = append(c.Gauges, name.String())
	}
	return nil
}

// maxShareError is how far the sum of the tenants' shares, which are rounded, may differ from
// 1.
const maxShareError = 0.02

// readTenants returns the names of the tenants. Each tenant must have a share and a quota, and
// the sum of the shares must be 1, within maxShareError.
func readTenants(settings gjson.Result) (names []string, err error) {
	sum := 0.0
	for i, tenant := range settings.Get(keyTenants).Array() {
		path := fmt.Sprintf("%s.%s.%d.", keySettings, keyTenants, i)
		name := tenant.Get(keyName)
		if name.Type != gjson.String || name.Str == "" || slices.Contains(names, name.Str) {
			return nil, &KeyError{path + keyName, errNotUniqueName}
		}
		names = append(names, name.Str)
		for _, key := range []string{keyTenantShare, keyTenantQuota} {
			value := tenant.Get(key)
			if value.Type != gjson.Number || !(value.Num >= 0 && value.Num < maxNumber) {
				return nil, &KeyError{path + key, errNotZeroOrPositive}
			}
		}
		sum += tenant.Get(keyTenantShare).Num
	}
	if len(names) > 0 && math.Abs(sum-1) > maxShareError {
		return nil, keyErrorf(keySettings+"."+keyTenants, "the shares add up to %.3f, want 1", sum)
	}
	return names, nil
}
