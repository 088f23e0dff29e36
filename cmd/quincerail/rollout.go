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
	"quincerail.example/quincerail/fleet/lease"
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
	var s fleet.RolloutStatus
	if err := c.call(http.MethodGet, admin.PathRollouts, nil, nil, &s); err != nil {
		return err
	}
	if c.JSON {
		out := json.NewEncoder(os.Stdout)
		out.SetIndent("", "  ")
		return out.Encode(s)
	}
	printRollout(s.Record, s.Owner, s.Token)
	return printServers(s)
}

// printRollout prints the plan and how far it has come.
func printRollout(record rollout.Record, owner string, token lease.Token) {
	plan := record.Plan
	if plan == nil {
		fmt.Println("no rollout yet")
		return
	}
	fmt.Printf("%s: %s from %s to %s, %d servers, driven by %s under %s\n",
		plan.ID, plan.Kind, plan.From, plan.To, len(plan.Servers), owner, token)
	fmt.Printf("%s, stage %d of %d, window %d: %s", record.State.Phase, record.State.Stage, len(plan.Stages)-1,
		record.State.Window, record.Decision.Verdict)
	if reason := record.Decision.Reason; reason != "" {
		fmt.Printf(" (%s)", reason)
	}
	fmt.Println()
	if pending := record.Decision.PendingServers; len(pending) > 0 {
		fmt.Println("waits for:", strings.Join(pending, " "))
	}
}

// printServers prints a table of what each server runs.
func printServers(s fleet.RolloutStatus) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0) // keeps an error until Flush
	_, _ = fmt.Fprintln(w, "server\tzone\tversion\tto run\tsettings\t")
	for _, server := range s.Servers {
		remark := ""
		if server.RejectedSettings != 0 {
			remark = fmt.Sprintf("turned %d down: %s", server.RejectedSettings, server.RejectionReason)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n",
			server.Name, server.Zone, server.Version, s.DesiredVersions[server.Name], server.SettingsNumber, remark)
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

// The defaults of a plan; see rollout.Plan.
const (
	defaultMinWatchWindows = 300
	defaultMaxWatchWindows = 3000
	defaultWarmUpWindows   = 2
)

// Run implements the sub-command.
func (c *rolloutStartCmd) Run() error {
	r, err := c.request()
	if err != nil {
		return err
	}
	return c.call(http.MethodPost, admin.PathRollouts, nil, r, nil)
}

// request returns the request that starts the rollout.
func (c *rolloutStartCmd) request() (admin.ChangeRequest, error) {
	r := admin.ChangeRequest{Plan: rollout.Plan{
		ID: c.ID, Kind: rollout.Program, From: c.From, To: c.To,
		Stages: rollout.DefaultStages(), MinWatchWindows: defaultMinWatchWindows, MaxWatchWindows: defaultMaxWatchWindows,
		WarmUpWindows: defaultWarmUpWindows, Limits: rollout.DefaultLimits(),
	}}
	rollsOutSettings, rollsOutProgram := c.Settings != "", c.From != "" && c.To != ""
	if rollsOutSettings == rollsOutProgram {
		return r, errors.New("either --settings, or --from and --to wanted")
	}
	if rollsOutSettings {
		text, err := readSettings(c.Settings)
		if err != nil {
			return r, fmt.Errorf("settings: %w", err)
		}
		r.Plan.Kind, r.Settings = rollout.Settings, text
	}
	if c.Plan != "" {
		if err := readPlan(c.Plan, &r.Plan); err != nil {
			return r, fmt.Errorf("plan: %w", err)
		}
	}
	return r, nil
}

// readSettings reads a file of settings, in JSON.
func readSettings(path string) (json.RawMessage, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if !json.Valid(text) {
		return nil, fmt.Errorf("%s is no JSON", path)
	}
	return text, nil
}

// planKeys are the keys that a plan's file may have.
var planKeys = []string{"stages", "watch", "watch_most", "warm", "limits", "servers"}

// readPlan reads a plan's file, in TOML, over the defaults in plan.
func readPlan(path string, plan *rollout.Plan) error {
	var values map[string]any
	if _, err := toml.DecodeFile(path, &values); err != nil {
		return err
	}
	for key := range values {
		if !slices.Contains(planKeys, key) {
			return fmt.Errorf("%s: %s is no key of a plan", path, key)
		}
	}
	encoded, err := json.Marshal(values)
	if err != nil {
		return err
	}
	if values["stages"] != nil {
		plan.Stages = nil // else JSON would fill in the defaults' elements
	}
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.DisallowUnknownFields()
	return decoder.Decode(plan)
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
