// Package operator reads the operator's file: what the program switches on beside
// the platform's configuration.
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

// operatorSchema is the CUE schema of the operator's file.
//
//go:embed operator.cue
var operatorSchema string

// File is the operator's file, in TOML or CUE, checked against
// operator.cue: what the program switches on beside the platform's
// configuration.
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

// FleetOf gives what a process of a name, with a shared dependency at an address, is to do in its fleet;
// nil where the operator's file leaves it off. The error names the key at fault.
func (o *File) FleetOf(name, ledger string, logger *slog.Logger) (*fleet.Config, error) {
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

// Error names every problem of an operator's file: a path and why, and
// a place where the file is CUE.
type Error struct {
	File     string
	Problems []string
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.File, strings.Join(e.Problems, "; "))
}

// Load reads an operator's file; "" gives the defaults. The error is an
// *Error where the file makes no sense.
func Load(path string) (*File, error) {
	ctx := cuecontext.New()
	schema := ctx.CompileString(operatorSchema, cue.Filename("operator.cue")).LookupPath(cue.ParsePath("#Operator"))
	if schema.Err() != nil {
		return nil, fmt.Errorf("operator.cue: %w", schema.Err())
	}
	data := ctx.CompileString("{}")
	if path != "" {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("operator: %w", err)
		}
		if filepath.Ext(path) == ".cue" {
			data = ctx.CompileBytes(text, cue.Filename(path))
		} else {
			var m map[string]any
			if _, err := toml.Decode(string(text), &m); err != nil {
				return nil, &Error{path, []string{err.Error()}}
			}
			b, err := json.Marshal(m)
			if err != nil {
				return nil, fmt.Errorf("operator: %w", err)
			}
			data = ctx.CompileBytes(b, cue.Filename(path))
		}
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

// problems gives one line a path: the most telling reason that CUE gives for
// it (a value out of its bounds before a default that it conflicts with), and
// the line in the file where it has one.
func problems(err error) []string {
	type problem struct {
		line string
		rank int
	}
	var order []string
	best := map[string]problem{}
	for _, e := range cueerrors.Errors(err) {
		path := strings.TrimPrefix(strings.Join(e.Path(), "."), "#Operator.")
		format, args := e.Msg()
		msg := fmt.Sprintf(format, args...)
		rank := 1
		switch {
		case strings.HasSuffix(msg, "empty disjunction:"):
			rank = 0
		case strings.HasPrefix(msg, "invalid value"):
			rank = 2
		case !strings.HasPrefix(msg, "conflicting values"):
			rank = 3 // the schema's own reason
		}
		line := path + ": " + msg
		for _, p := range e.InputPositions() {
			if p.Filename() != "operator.cue" && p.Line() > 0 {
				line = fmt.Sprintf("%s (line %d)", line, p.Line())
				break
			}
		}
		if was, ok := best[path]; !ok || rank > was.rank {
			if !ok {
				order = append(order, path)
			}
			best[path] = problem{line, rank}
		}
	}
	lines := make([]string, len(order))
	for i, path := range order {
		lines[i] = best[path].line
	}
	return lines
}
