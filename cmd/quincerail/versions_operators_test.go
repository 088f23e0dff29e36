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

// operatorTimeout bounds a request to a voter's operator API.
const operatorTimeout = 10 * time.Second

// fencingToken is the position of a lease's grant in the voters' log.
type fencingToken struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// before reports whether t is lower than other.
func (t fencingToken) before(other fencingToken) bool {
	return cmp.Or(cmp.Compare(t.Term, other.Term), cmp.Compare(t.Index, other.Index)) < 0
}

// parseFencingToken parses a token in the format of the logs. It returns the zero token for
// other text.
func parseFencingToken(text string) (t fencingToken) {
	if _, err := fmt.Sscanf(text, "%d.%d", &t.Term, &t.Index); err != nil {
		return fencingToken{}
	}
	return t
}

// rolloutStatus is the part of a voter's response about rollouts that these tests use.
type rolloutStatus struct {
	Record  json.RawMessage `json:"record"`
	Servers []struct {
		Name     string `json:"name"`
		Version  string `json:"version"`
		Settings uint64 `json:"settings"`
	} `json:"servers"`
}

// phase returns the phase of the rollout, "" if there is no rollout.
func (s rolloutStatus) phase() string {
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

// window returns the last window that the rollout has evaluated, 0 if there is no rollout.
func (s rolloutStatus) window() int {
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

// persistentRecord returns the part of the rollout's record that must not change while servers
// are replaced: the whole record once the rollout has ended, otherwise its plan and the numbers
// and patches of the settings.
func (s rolloutStatus) persistentRecord() (string, error) {
	var record map[string]any
	if err := json.Unmarshal(s.Record, &record); err != nil {
		return "", err
	}
	if phase := s.phase(); phase != "done" && phase != "halted" {
		for _, key := range []string{"index", "state", "decision"} { // these change with each window
			delete(record, key)
		}
	}
	text, err := json.Marshal(record) // sorts the keys
	return string(text), err
}

// rolloutStatus requests the status of the rollout from a voter.
func (f *versionsFleet) rolloutStatus(voter string) (s rolloutStatus, err error) {
	address, err := f.OperatorAddress(voter)
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

// persistentRecord returns the persistent part of the record that a voter has.
func (f *versionsFleet) persistentRecord(voter string) string {
	f.t.Helper()
	s, err := f.rolloutStatus(voter)
	must(f.t, 0, err)
	text, err := s.persistentRecord()
	return must(f.t, text, err)
}

// awaitRecord waits until a voter has a record with the given persistent part. If the rollout's
// phase is "watching", the record must also have a later window than f.window.
func (f *versionsFleet) awaitRecord(voter, record string) {
	f.t.Helper()
	eventually(f.t, voter+" has the record "+record, func() (string, bool) {
		s, err := f.rolloutStatus(voter)
		if err != nil {
			return err.Error(), false
		}
		text, err := s.persistentRecord()
		if err != nil || text != record {
			return fmt.Sprint(text, err), false
		}
		if s.phase() == "watching" && s.window() <= f.window {
			return fmt.Sprintf("window %d after %d", s.window(), f.window), false
		}
		f.window = s.window()
		return "", true
	})
}

// awaitServer waits until v1 lists a server with a version and with the settings of the first
// rollout, which the rollout's owner sends to the server after its start.
func (f *versionsFleet) awaitServer(name, version string) {
	f.t.Helper()
	eventually(f.t, name+" runs "+version+" with the settings that were rolled out", func() (string, bool) {
		s, err := f.rolloutStatus("v1")
		for _, server := range s.Servers {
			if server.Name == name && server.Version == version && server.Settings == 1 {
				return "", true
			}
		}
		return fmt.Sprint(s.Servers, err), false
	})
}

// operatorCommandOutput runs an operators' sub-command of a program against a voter, and
// returns its output.
func (f *versionsFleet) operatorCommandOutput(program, voter, command string, args ...string) (string, error) {
	address, err := f.OperatorAddress(voter)
	if err != nil {
		return "", err
	}
	all := append(strings.Fields(command), "--address", address)
	out, err := exec.CommandContext(f.t.Context(), program, append(all, args...)...).CombinedOutput()
	return string(out), err
}

// runOperatorCommand runs an operators' sub-command that must succeed.
func (f *versionsFleet) runOperatorCommand(program, voter, command string, args ...string) {
	f.t.Helper()
	if out, err := f.operatorCommandOutput(program, voter, command, args...); err != nil {
		f.t.Fatalf("quincerail %s against %s fails: %v: %s", command, voter, err, out)
	}
}

// awaitVoters waits until the voters list sub-commands of both programs print, for one voter,
// that all voters are alive and can vote.
func (f *versionsFleet) awaitVoters(voter string) {
	f.t.Helper()
	for _, program := range f.programs {
		eventually(f.t, voter+" lists all voters as alive and voting", func() (string, bool) {
			out, err := f.operatorCommandOutput(program, voter, "voters list")
			ok := err == nil && strings.Count(out, "true") == len(f.voters) && !strings.Contains(out, "no vote")
			return fmt.Sprint(err, "\n", out), ok
		})
	}
}
