package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/BurntSushi/toml"

	"quincerail.example/quincerail/admin"
	"quincerail.example/quincerail/fleet"
	"quincerail.example/quincerail/fleet/rollout"
)

// rolloutCmd is what operators ask of a fleet's rollouts, at one of its voters.
type rolloutCmd struct {
	Status rolloutStatusCmd `cmd:"" help:"Print the rollout under way, or the last one, and what each server runs."`
	Start  rolloutStartCmd  `cmd:"" help:"Start a rollout of a version of the program, or of settings."`
	Halt   rolloutHaltCmd   `cmd:"" help:"Halt the rollout under way: its servers go back."`
}

type rolloutStatusCmd struct {
	voter
	JSON bool `name:"json" help:"As JSON, for programs that start others."`
}

// Run implements the sub-command.
func (c *rolloutStatusCmd) Run() error {
	var s fleet.ChangeStatus
	if err := c.call(http.MethodGet, admin.PathRollouts, nil, nil, &s); err != nil {
		return err
	}
	if c.JSON {
		out := json.NewEncoder(os.Stdout)
		out.SetIndent("", "  ")
		return out.Encode(s)
	}
	if p := s.Record.Plan; p != nil {
		fmt.Printf("%s: %s from %s to %s, %d servers, driven by %s under %s\n", p.ID, p.Kind, p.From, p.To, len(p.Servers), s.Owner, s.Token)
		fmt.Printf("%s, stage %d of %d, window %d: %s", s.Record.State.Phase, s.Record.State.Stage, len(p.Stages)-1,
			s.Record.State.Window, s.Record.Decision.Verdict)
		if why := s.Record.Decision.Reason; why != "" {
			fmt.Printf(" (%s)", why)
		}
		fmt.Println()
		if missing := s.Record.Decision.PendingServers; len(missing) > 0 {
			fmt.Println("waits for:", strings.Join(missing, " "))
		}
	} else {
		fmt.Println("no rollout yet")
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0) // keeps an error until Flush
	_, _ = fmt.Fprintln(w, "server\tzone\tversion\tto run\tsettings\t")
	for _, x := range s.Servers {
		remark := ""
		if x.TurnedDown != 0 {
			remark = fmt.Sprintf("turned %d down: %s", x.TurnedDown, x.Reason)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", x.Name, x.Zone, x.Version, s.Desired[x.Name], x.Settings, remark)
	}
	return w.Flush()
}

type rolloutStartCmd struct {
	voter
	ID       string `required:"" help:"A name for the rollout, never used before; it draws the order of the servers too."`
	From     string `help:"Version of the program that the servers run."`
	To       string `help:"Version of the program to roll out."`
	Settings string `type:"existingfile" help:"File of settings to roll out instead: a JSON merge patch on the settings of the servers' own files."`
	Plan     string `type:"existingfile" help:"TOML file that says otherwise than the defaults: stages, watch, watch_most, warm, limits, servers."`
}

// The defaults of a plan, in windows; see rollout.Plan.
const (
	defaultWatch     = 300
	defaultWatchMost = 3000
	defaultWarm      = 2
)

// Run implements the sub-command.
func (c *rolloutStartCmd) Run() error {
	r, err := c.request()
	if err != nil {
		return err
	}
	return c.call(http.MethodPost, admin.PathRollouts, nil, r, nil)
}

func (c *rolloutStartCmd) request() (admin.ChangeRequest, error) {
	r := admin.ChangeRequest{Plan: rollout.Plan{
		ID: c.ID, Kind: rollout.Program, From: c.From, To: c.To,
		Stages: rollout.DefaultStages(), MinWatchWindows: defaultWatch, MaxWatchWindows: defaultWatchMost,
		WarmUpWindows: defaultWarm, Limits: rollout.DefaultLimits(),
	}}
	if (c.Settings == "") == (c.From == "" || c.To == "") {
		return r, errors.New("either --settings, or --from and --to wanted")
	}
	if c.Settings != "" {
		text, err := os.ReadFile(c.Settings)
		if err != nil {
			return r, fmt.Errorf("settings: %w", err)
		}
		if !json.Valid(text) {
			return r, fmt.Errorf("settings: %s is no JSON", c.Settings)
		}
		r.Plan.Kind, r.Settings = rollout.Settings, text
	}
	if c.Plan == "" {
		return r, nil
	}
	var m map[string]any
	if _, err := toml.DecodeFile(c.Plan, &m); err != nil {
		return r, fmt.Errorf("plan: %w", err)
	}
	for key := range m {
		if !slices.Contains([]string{"stages", "watch", "watch_most", "warm", "limits", "servers"}, key) {
			return r, fmt.Errorf("plan: %s: %s is no key of a plan", c.Plan, key)
		}
	}
	b, err := json.Marshal(m)
	if err != nil {
		return r, fmt.Errorf("plan: %w", err)
	}
	if m["stages"] != nil {
		r.Plan.Stages = nil
	}
	in := json.NewDecoder(bytes.NewReader(b))
	in.DisallowUnknownFields()
	if err := in.Decode(&r.Plan); err != nil {
		return r, fmt.Errorf("plan: %w", err)
	}
	return r, nil
}

type rolloutHaltCmd struct {
	voter
	ID     string `required:"" help:"The rollout's name."`
	Reason string `default:"halted by an operator" help:"For the log and the record."`
}

// Run implements the sub-command.
func (c *rolloutHaltCmd) Run() error {
	return c.call(http.MethodDelete, admin.PathRollouts, url.Values{"id": {c.ID}, "reason": {c.Reason}}, nil, nil)
}
