package main_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"time"
)

// operatorTimeout bounds a call of operators at a voter.
const operatorTimeout = 10 * time.Second

// fencingToken is the place of a lease's grant in the voters' log.
type fencingToken struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// before reports whether a token is lower than another one.
func (t fencingToken) before(other fencingToken) bool {
	return cmp.Or(cmp.Compare(t.Term, other.Term), cmp.Compare(t.Index, other.Index)) < 0
}

// parseFencingToken reads a token as logs show it; the zero token if it is none.
func parseFencingToken(text string) (t fencingToken) {
	if _, err := fmt.Sscanf(text, "%d.%d", &t.Term, &t.Index); err != nil {
		return fencingToken{}
	}
	return t
}

// changesStatus is the part of a voter's answer about rollouts that these tests
// look at.
type changesStatus struct {
	Record  json.RawMessage `json:"record"`
	Servers []struct {
		Name     string `json:"name"`
		Version  string `json:"version"`
		Settings uint64 `json:"settings"`
	} `json:"servers"`
}

// phase is the phase of the rollout; "" for none.
func (s changesStatus) phase() string {
	var record struct {
		State struct {
			Phase string `json:"phase"`
		} `json:"state"`
	}
	if json.Unmarshal(s.Record, &record) != nil {
		return ""
	}
	return record.State.Phase
}

// window is the last window of the rollout that was taken in.
func (s changesStatus) window() int {
	var record struct {
		State struct {
			Window int `json:"window"`
		} `json:"state"`
	}
	if json.Unmarshal(s.Record, &record) != nil {
		return 0
	}
	return record.State.Window
}

// lasting is what of the record stays while servers are replaced: all of it once
// the rollout has ended, else the plan and the settings' numbers and patches.
func (s changesStatus) lasting() (string, error) {
	var record map[string]any
	if err := json.Unmarshal(s.Record, &record); err != nil {
		return "", err
	}
	if phase := s.phase(); phase != "done" && phase != "halted" {
		for _, key := range []string{"index", "state", "decision"} { // of the latest window
			delete(record, key)
		}
	}
	text, err := json.Marshal(record) // with its keys in order
	return string(text), err
}

// changes asks a voter about rollouts.
func (f *versionsFleet) changes(voter string) (s changesStatus, err error) {
	address, err := f.Operators(voter)
	if err != nil {
		return s, err
	}
	request, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, "http://"+address+"/changes", http.NoBody)
	if err != nil {
		return s, err
	}
	client := http.Client{Timeout: operatorTimeout}
	response, err := client.Do(request)
	if err != nil {
		return s, err
	}
	defer closeQuietly(response.Body)
	if response.StatusCode != http.StatusOK {
		return s, fmt.Errorf("%s: %s", voter, response.Status)
	}
	return s, json.NewDecoder(response.Body).Decode(&s)
}

// lastingRecord is what lasts of the record that a voter has.
func (f *versionsFleet) lastingRecord(voter string) string {
	f.t.Helper()
	s, err := f.changes(voter)
	must(f.t, 0, err)
	text, err := s.lasting()
	return must(f.t, text, err)
}

// awaitRecord waits until a voter has a record, and, where its rollout is under
// way, a window of it that is later than any seen so far.
func (f *versionsFleet) awaitRecord(voter, lasting string) {
	f.t.Helper()
	eventually(f.t, voter+" has the record "+lasting, func() (string, bool) {
		s, err := f.changes(voter)
		if err != nil {
			return err.Error(), false
		}
		text, err := s.lasting()
		if err != nil || text != lasting {
			return fmt.Sprint(text, err), false
		}
		if s.phase() == "watching" && s.window() <= f.window {
			return fmt.Sprintf("window %d after %d", s.window(), f.window), false
		}
		f.window = s.window()
		return "", true
	})
}

// awaitServer waits until a server reports a version, and the settings that were
// rolled out first, as the rollout's owner tells it after its start.
func (f *versionsFleet) awaitServer(name, version string) {
	f.t.Helper()
	eventually(f.t, name+" runs "+version+" with the settings that were rolled out", func() (string, bool) {
		s, err := f.changes("v1")
		for _, server := range s.Servers {
			if server.Name == name && server.Version == version && server.Settings == 1 {
				return "", true
			}
		}
		return fmt.Sprint(s.Servers, err), false
	})
}

// operatorOutput runs a command of a program at a voter.
func (f *versionsFleet) operatorOutput(program, voter, command string, args ...string) (string, error) {
	address, err := f.Operators(voter)
	if err != nil {
		return "", err
	}
	all := append(strings.Fields(command), "--address", address)
	out, err := exec.CommandContext(f.t.Context(), program, append(all, args...)...).CombinedOutput()
	return string(out), err
}

// operate runs a command that must succeed.
func (f *versionsFleet) operate(program, voter, command string, args ...string) {
	f.t.Helper()
	if out, err := f.operatorOutput(program, voter, command, args...); err != nil {
		f.t.Fatalf("%s at %s: %v: %s", command, voter, err, out)
	}
}

// awaitVoters waits until a voter lists all voters as alive and with a vote, to the
// commands of both programs.
func (f *versionsFleet) awaitVoters(voter string) {
	f.t.Helper()
	for _, program := range f.programs {
		eventually(f.t, voter+" lists all voters", func() (string, bool) {
			out, err := f.operatorOutput(program, voter, "voters list")
			ok := err == nil && strings.Count(out, "true") == len(f.voters) && !strings.Contains(out, "no vote")
			return fmt.Sprint(err, "\n", out), ok
		})
	}
}
