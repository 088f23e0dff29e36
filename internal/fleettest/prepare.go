package fleettest

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"quincerail.example/quincerail/internal/fakes"
)

// prepare writes a member's files and starts its processor and callers. It doesn't start its
// process.
func (f *Fleet) prepare(name string, voters, all []string) error {
	c := &Child{Name: name, dir: filepath.Join(f.opt.Dir, name), files: f.opt.OperatorFileKeys[name]}
	c.config = filepath.Join(c.dir, "config.json")
	if err := os.MkdirAll(c.dir, 0o700); err != nil {
		return fmt.Errorf("fleettest: %w", err)
	}
	config, err := f.configuration(c)
	if err != nil {
		return err
	}
	if c.fleet, err = f.fleetSettings(c, voters, all); err != nil {
		return err
	}
	if err := writeJSON(c.config, config); err != nil {
		return err
	}
	if err := c.setVersion(f.opt.Binary, f.opt.Version); err != nil {
		return err
	}
	f.Children[name] = c
	for i := range f.opt.Load {
		f.callers.Go(func() { f.runCaller(c, i) })
	}
	return nil
}

// configuration returns a member's configuration: the example's with the addresses of the
// fleet. In a fleet with load it starts the member's processor.
func (f *Fleet) configuration(c *Child) (map[string]any, error) {
	text, err := os.ReadFile(f.opt.Example)
	if err != nil {
		return nil, fmt.Errorf("fleettest: %w", err)
	}
	config := map[string]any{}
	if err := json.Unmarshal(text, &config); err != nil {
		return nil, fmt.Errorf("fleettest: %w", err)
	}
	delete(config, "control")
	config["name"], config["listen"], config["ledger"] = c.Name, anyPort, f.Registry.Addr()
	if f.opt.Adjust != nil {
		f.opt.Adjust(config)
	}
	if f.Ledger == nil {
		return config, nil
	}
	work := fakes.NewWork(0)
	if f.opt.Work != nil {
		work = f.opt.Work()
	}
	if c.processor, err = fakes.NewProcessor(anyPort, work); err != nil {
		return nil, fmt.Errorf("fleettest: %w", err)
	}
	go func() { // a full channel would block the processor
		for range work.Started() {
		}
	}()
	config["processor"], config["ledger"] = c.processor.Addr(), f.Ledger.Addr()
	return config, nil
}

// fleetSettings returns the fleet section of a member's operator file.
func (f *Fleet) fleetSettings(c *Child, voters, all []string) (map[string]any, error) {
	publish, err := f.Net.Open(c.Name, "registry", "publish", false)
	if err != nil {
		return nil, err
	}
	settings := map[string]any{"role": "member", "gossip": anyPort, "publish": "http://" + publish.Addr() + "/judgement"}
	if settings["seeds"], err = f.addresses(c.Name, "gossip", false, all); err != nil {
		return nil, err
	}
	if strings.HasPrefix(c.Name, "v") {
		if err := f.addVoterSettings(c, settings, voters); err != nil {
			return nil, err
		}
	}
	maps.Copy(settings, f.opt.Settings)
	maps.Copy(settings, f.opt.MemberSettings[c.Name])
	return settings, nil
}

// addVoterSettings adds the settings of a voter. For a voter that is not in voters, the founding
// voters, it also sets join.
func (f *Fleet) addVoterSettings(c *Child, settings map[string]any, voters []string) (err error) {
	settings["role"], settings["raft"], settings["dir"] = "voter", anyPort, filepath.Join(c.dir, "log")
	if settings["voters"], err = f.addresses(c.Name, "raft", true, voters); err != nil {
		return err
	}
	if slices.Contains(voters, c.Name) {
		return nil
	}
	p, err := f.Net.Open("voters", c.Name, "raft", true) // one proxy for all voters, because the replicated log stores only one address
	if err != nil {
		return err
	}
	settings["join"], c.Raft = true, p.Addr()
	return nil
}

// addresses returns the addresses at which a member reaches others, by name. They are the
// addresses of the proxies between them, except for members that Options.Direct connects
// without proxies.
func (f *Fleet) addresses(name, kind string, framed bool, others []string) (map[string]string, error) {
	out := map[string]string{}
	for _, other := range others {
		switch {
		case other == name:
			out[other] = unreachable // no process dials itself
		case f.opt.Direct && strings.HasPrefix(name, "m"):
			out[other] = f.gossip[other]
		default:
			p, err := f.Net.Open(name, other, kind, framed)
			if err != nil {
				return nil, err
			}
			out[other] = p.Addr()
		}
	}
	return out, nil
}

func writeJSON(path string, v any) error {
	b, err := json.Marshal(v)
	if err == nil {
		err = os.WriteFile(path, b, 0o600)
	}
	if err != nil {
		return fmt.Errorf("fleettest: %w", err)
	}
	return nil
}

// setVersion sets the program and version of the member's next process and writes its
// operator file.
func (c *Child) setVersion(binary, version string) error {
	c.binary = binary
	c.version.Store(&version)
	if version != "" {
		c.fleet["version"] = version
	}
	operator := filepath.Join(c.dir, "operator.cue") // JSON is CUE
	c.args = []string{"serve", "--operator", operator}
	all := map[string]any{"fleet": c.fleet, "metrics": map[string]any{"listen": "127.0.0.1:0"}, "log": map[string]any{"repeats": 0}}
	maps.Copy(all, c.files)
	return writeJSON(operator, all)
}
