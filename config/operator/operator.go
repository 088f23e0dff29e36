// Package operator reads the operator's file, which turns on what the platform's
// configuration does not know of.
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

// File is the operator's file, in TOML or CUE, checked against
// operator.cue. Its zero value is not valid: Load fills in the defaults.
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
		Role      string            `json:"role"`
		Name      string            `json:"name"`
		Raft      string            `json:"raft"`
		Gossip    string            `json:"gossip"`
		Dir       string            `json:"dir"`
		Voters    map[string]string `json:"voters"`
		Seeds     map[string]string `json:"seeds"`
		Election  int               `json:"election_ms"`
		Lease     int               `json:"lease_ms"`
		Drift     float64           `json:"drift"`
		Probe     int               `json:"probe_ms"`
		Slow      int               `json:"slow_ms"`
		Publish   string            `json:"publish"`
		Budget    uint64            `json:"budget_calls"`
		Repeats   uint64            `json:"budget_repeats"`
		Horizon   int               `json:"horizon_ms"`
		Hold      int               `json:"hold_ms"`
		ClockRate float64           `json:"clock_rate"`
		Window    int               `json:"window_ms"`
		Version   string            `json:"version"`
		Zone      string            `json:"zone"`
		Operators string            `json:"operators"`
		Join      bool              `json:"join"`
	} `json:"fleet"`
}

// FleetConfig returns the fleet's configuration of the process with a name, whose shared
// dependency is at the address ledger; nil where the operator's file leaves the fleet
// off. The error names the key at fault.
func (o *File) FleetConfig(name, ledger string, logger *slog.Logger) (*fleet.Config, error) {
	x := &o.Fleet
	if fleet.Role(x.Role) == fleet.Off {
		return nil, nil
	}
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	f := &fleet.Config{
		Fleet: x.Name, Self: name, Role: fleet.Role(x.Role), Raft: x.Raft, Gossip: x.Gossip, Dir: x.Dir,
		Voters: x.Voters, Join: x.Join, Seeds: x.Seeds, Election: ms(x.Election), Term: ms(x.Lease), Drift: x.Drift, ClockRate: x.ClockRate,
		Probe: ledger, ProbeEvery: ms(x.Probe), Slow: ms(x.Slow), Publish: x.Publish, Logger: logger,
		Budget: x.Budget, Repeats: x.Repeats, Horizon: ms(x.Horizon), Hold: ms(x.Hold), Window: ms(x.Window), Version: x.Version, Zone: x.Zone,
	}
	return f, f.Validate()
}

// Error lists every problem of an operator's file: the key's path, the reason, and the
// line where the file is CUE.
type Error struct {
	File     string
	Problems []string
}

// Error returns all problems in one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.File, strings.Join(e.Problems, "; "))
}

// Load reads an operator's file; "" gives the defaults. The error is an
// *Error where the file makes no sense.
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

// compile reads a file, in CUE or else in TOML, as a CUE value; "" gives an empty one.
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

// Ranks of the reasons that CUE gives for one path. The highest is reported: a value out
// of its bounds says more than the default that it conflicts with.
const (
	rankEmptyDisjunction = iota
	rankConflict
	rankInvalidValue
	rankSchemaReason // a reason that the schema itself states
)

// problems returns a line for each path at fault: the most telling of CUE's reasons, with
// the line in the file where there is one.
func problems(err error) []string {
	type problem struct {
		line string
		rank int
	}
	var paths []string
	best := map[string]problem{}
	for _, e := range cueerrors.Errors(err) {
		path := strings.TrimPrefix(strings.Join(e.Path(), "."), "#Operator.")
		format, args := e.Msg()
		reason := fmt.Sprintf(format, args...)
		rank := reasonRank(reason)
		known, ok := best[path]
		if !ok {
			paths = append(paths, path)
		}
		if !ok || rank > known.rank {
			best[path] = problem{path + ": " + reason + filePosition(e), rank}
		}
	}
	lines := make([]string, len(paths))
	for i, path := range paths {
		lines[i] = best[path].line
	}
	return lines
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

// filePosition returns the line of the operator's file that an error refers to, in
// parentheses; "" where it refers to none.
func filePosition(e cueerrors.Error) string {
	for _, p := range e.InputPositions() {
		if p.Filename() != schemaFile && p.Line() > 0 {
			return fmt.Sprintf(" (line %d)", p.Line())
		}
	}
	return ""
}
