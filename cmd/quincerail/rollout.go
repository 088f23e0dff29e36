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

// rolloutCmd has the sub-commands that show and control a fleet's rollouts. Each sends a request to one of
// the fleet's voters.
type rolloutCmd struct {
	Status rolloutStatusCmd `cmd:"" help:"Print the rollout in progress, or the last one, and what each server runs."`
	Start  rolloutStartCmd  `cmd:"" help:"Start a rollout of a version of the program, or of settings."`
	Halt   rolloutHaltCmd   `cmd:"" help:"Halt the rollout in progress: its servers return to the previous version or settings."`
}

type rolloutStatusCmd struct {
	voterClient
	JSON bool `name:"json" help:"Print JSON, for use by other programs."`
}

// Run prints the voter's answer, as text or as JSON.
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

// printRollout prints the plan of a rollout, its progress and its last decision.
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

// printServers prints a table with the program version and the settings of each server.
func printServers(s fleet.RolloutStatus) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0) // Flush returns the first write error
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
	voterClient
	ID       string `required:"" help:"Unique name of the rollout; it also seeds the order of the servers."`
	From     string `help:"Version of the program that the servers run now."`
	To       string `help:"Version of the program to roll out."`
	Settings string `type:"existingfile" help:"Settings to roll out instead: a file with a JSON merge patch on the settings in each server's own file."`
	Plan     string `type:"existingfile" help:"TOML file that overrides defaults of the plan: stages, watch, watch_most, warm, limits, servers."`
}

// The defaults of a plan, in windows; see rollout.Plan.
const (
	defaultMinWatchWindows = 300
	defaultMaxWatchWindows = 3000
	defaultWarmUpWindows   = 2
)

// Run sends the plan, and the settings if there are any, to the voter.
func (c *rolloutStartCmd) Run() error {
	r, err := c.request()
	if err != nil {
		return err
	}
	return c.call(http.MethodPost, admin.PathRollouts, nil, r, nil)
}

// request builds the request that starts the rollout. The flags must name either settings or
// two versions of the program.
func (c *rolloutStartCmd) request() (admin.RolloutRequest, error) {
	r := admin.RolloutRequest{Plan: rollout.Plan{
		ID: c.ID, Kind: rollout.Program, From: c.From, To: c.To,
		Stages: rollout.DefaultStages(), MinWatchWindows: defaultMinWatchWindows, MaxWatchWindows: defaultMaxWatchWindows,
		WarmUpWindows: defaultWarmUpWindows, Limits: rollout.DefaultLimits(),
	}}
	rollsOutSettings, rollsOutProgram := c.Settings != "", c.From != "" && c.To != ""
	if rollsOutSettings == rollsOutProgram {
		return r, errors.New("either --settings, or both --from and --to are required")
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

// readSettings reads a file of settings. It checks only that the file is valid JSON.
func readSettings(path string) (json.RawMessage, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if !json.Valid(text) {
		return nil, fmt.Errorf("%s: invalid JSON", path)
	}
	return text, nil
}

// planKeys are the keys that a plan file may have.
var planKeys = []string{"stages", "watch", "watch_most", "warm", "limits", "servers"}

// readPlan reads a plan file, in TOML, into plan. Values that are missing from the file keep
// their defaults.
func readPlan(path string, plan *rollout.Plan) error {
	var values map[string]any
	if _, err := toml.DecodeFile(path, &values); err != nil {
		return err
	}
	for key := range values {
		if !slices.Contains(planKeys, key) {
			return fmt.Errorf("%s: unknown plan key %s", path, key)
		}
	}
	encoded, err := json.Marshal(values)
	if err != nil {
		return err
	}
	if values["stages"] != nil {
		plan.Stages = nil // otherwise fields missing from the file's stages would keep the values of the default stages
	}
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.DisallowUnknownFields()
	return decoder.Decode(plan)
}

type rolloutHaltCmd struct {
	voterClient
	ID     string `required:"" help:"Name of the rollout."`
	Reason string `default:"halted by an operator" help:"Reason, for the log and the rollout's record."`
}

// Run asks the voter to halt the rollout.
func (c *rolloutHaltCmd) Run() error {
	return c.call(http.MethodDelete, admin.PathRollouts, url.Values{"id": {c.ID}, "reason": {c.Reason}}, nil, nil)
}
