// Package operator reads the operator's file, which turns on features that the platform's
// configuration doesn't cover.
package operator

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	cueerrors "cuelang.org/go/cue/errors"
	"github.com/BurntSushi/toml"

	"quincerail.example/quincerail/fleet"
)

// schemaFile is the name under which CUE reports positions in the schema.
const schemaFile = "operator.cue"

// operatorSchema is the CUE schema of the operator's file.
//
//go:embed operator.cue
var operatorSchema string

// File is the operator's file, in TOML or CUE. operator.cue documents each key, its default
// and its bounds. The zero value is not valid: Load fills in the defaults.
type File struct {
	UWSGI string `json:"uwsgi"`
	Rules string `json:"rules"`
	Keys  struct {
		Dir  string `json:"dir"`
		Sync string `json:"sync"`
	} `json:"keys"`
	Log struct {
		Level   string `json:"level"`
		Format  string `json:"format"`
		Repeats int    `json:"repeats"`
	} `json:"log"`
	Metrics struct {
		Listen string `json:"listen"`
	} `json:"metrics"`
	Fleet struct {
		Role          string            `json:"role"`
		Name          string            `json:"name"`
		Raft          string            `json:"raft"`
		Gossip        string            `json:"gossip"`
		Dir           string            `json:"dir"`
		Voters        map[string]string `json:"voters"`
		Seeds         map[string]string `json:"seeds"`
		ElectionMS    int               `json:"election_ms"`
		LeaseMS       int               `json:"lease_ms"`
		Drift         float64           `json:"drift"`
		ProbeMS       int               `json:"probe_ms"`
		SlowMS        int               `json:"slow_ms"`
		Publish       string            `json:"publish"`
		BudgetCalls   uint64            `json:"budget_calls"`
		BudgetRepeats uint64            `json:"budget_repeats"`
		HorizonMS     int               `json:"horizon_ms"`
		HoldMS        int               `json:"hold_ms"`
		ClockRate     float64           `json:"clock_rate"`
		WindowMS      int               `json:"window_ms"`
		Version       string            `json:"version"`
		Zone          string            `json:"zone"`
		Operators     string            `json:"operators"`
		Join          bool              `json:"join"`
	} `json:"fleet"`
}

// FleetConfig returns the fleet's configuration for the process with the given name, whose
// shared dependency is at dependencyAddress. It returns nil if the operator's file leaves the
// fleet off. The error names the invalid key.
func (f *File) FleetConfig(name, dependencyAddress string, logger *slog.Logger) (*fleet.Config, error) {
	keys := &f.Fleet
	if fleet.Role(keys.Role) == fleet.RoleOff {
		return nil, nil
	}
	c := &fleet.Config{
		FleetName: keys.Name,
		Self:      name,
		Role:      fleet.Role(keys.Role),
		Logger:    logger,

		RaftAddress:   keys.Raft,
		GossipAddress: keys.Gossip,
		LogDir:        keys.Dir,
		Voters:        keys.Voters,
		Join:          keys.Join,
		Seeds:         keys.Seeds,

		ElectionTimeout: milliseconds(keys.ElectionMS),
		LeaseDuration:   milliseconds(keys.LeaseMS),
		MaxClockDrift:   keys.Drift,
		ClockRate:       keys.ClockRate,

		DependencyAddress: dependencyAddress,
		ProbeInterval:     milliseconds(keys.ProbeMS),
		SlowThreshold:     milliseconds(keys.SlowMS),
		PublishURL:        keys.Publish,

		MaxCalls:            keys.BudgetCalls,
		MaxRetriesPerSecond: keys.BudgetRepeats,
		SessionTimeout:      milliseconds(keys.HorizonMS),
		MaxCallDuration:     milliseconds(keys.HoldMS),

		RolloutWindow: milliseconds(keys.WindowMS),
		Version:       keys.Version,
		Zone:          keys.Zone,
	}
	return c, c.Validate()
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Error lists all problems of an operator's file. A problem has the key's path, the reason
// and, if known, the position in the file. In a TOML file, the position is that in the file's
// JSON encoding, which has one line.
type Error struct {
	File     string
	Problems []string
}

// Error returns all problems in one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.File, strings.Join(e.Problems, "; "))
}

// Load reads an operator's file. For the path "" it returns the defaults. If the file was read
// and is not valid, the error is an *Error.
func Load(path string) (*File, error) {
	ctx := cuecontext.New()
	schema := ctx.CompileString(operatorSchema, cue.Filename(schemaFile)).LookupPath(cue.ParsePath("#Operator"))
	if schema.Err() != nil {
		return nil, fmt.Errorf("%s: %w", schemaFile, schema.Err())
	}
	data, err := compile(ctx, path)
	if err != nil {
		return nil, err
	}
	v := schema.Unify(data)
	if err := v.Validate(cue.Concrete(true)); err != nil {
		return nil, &Error{path, problems(err)}
	}
	var o File
	if err := v.Decode(&o); err != nil {
		return nil, fmt.Errorf("operator: %w", err)
	}
	return &o, nil
}

// compile reads a file as a CUE value: CUE if its extension is .cue, else TOML. For the path
// "" it returns an empty struct.
func compile(ctx *cue.Context, path string) (cue.Value, error) {
	if path == "" {
		return ctx.CompileString("{}"), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return cue.Value{}, fmt.Errorf("operator: %w", err)
	}
	if filepath.Ext(path) == ".cue" {
		return ctx.CompileBytes(text, cue.Filename(path)), nil
	}
	var values map[string]any
	if _, err := toml.Decode(string(text), &values); err != nil {
		return cue.Value{}, &Error{path, []string{err.Error()}}
	}
	encoded, err := json.Marshal(values)
	if err != nil {
		return cue.Value{}, fmt.Errorf("operator: %w", err)
	}
	return ctx.CompileBytes(encoded, cue.Filename(path)), nil
}

// Ranks of the reasons that CUE gives for one path. Only the reason with the highest rank is
// reported: that a value is out of its bounds is more useful than that it conflicts with the
// default.
const (
	rankEmptyDisjunction = iota
	rankConflict
	rankInvalidValue
	rankSchemaReason // a reason from the schema's own error()
)

// problems returns one text for each invalid path: the path, the reason with the highest rank
// and, if known, the position in the file.
func problems(err error) []string {
	var paths []string // in the order of the errors
	best := map[string]problem{}
	for _, e := range cueerrors.Errors(err) {
		path := strings.TrimPrefix(strings.Join(e.Path(), "."), "#Operator.")
		next := newProblem(path, e)
		known, ok := best[path]
		if !ok {
			paths = append(paths, path)
		}
		if !ok || next.rank > known.rank {
			best[path] = next
		}
	}
	lines := make([]string, len(paths))
	for i, path := range paths {
		lines[i] = best[path].text
	}
	return lines
}

// problem is one of CUE's reasons why a path is invalid.
type problem struct {
	text string // the path, the reason and, if known, the position
	rank int
}

func newProblem(path string, e cueerrors.Error) problem {
	format, args := e.Msg()
	reason := fmt.Sprintf(format, args...)
	return problem{path + ": " + reason + filePosition(e), reasonRank(reason)}
}

func reasonRank(reason string) int {
	switch {
	case strings.HasSuffix(reason, "empty disjunction:"):
		return rankEmptyDisjunction
	case strings.HasPrefix(reason, "invalid value"):
		return rankInvalidValue
	case strings.HasPrefix(reason, "conflicting values"):
		return rankConflict
	}
	return rankSchemaReason
}

// filePosition returns the first line of the operator's file that an error refers to, in
// parentheses, or "" if it refers to none. For a TOML file it is a line of the JSON encoding.
func filePosition(e cueerrors.Error) string {
	for _, p := range e.InputPositions() {
		if p.Filename() != schemaFile && p.Line() > 0 {
			return fmt.Sprintf(" (line %d)", p.Line())
		}
	}
	return ""
}
