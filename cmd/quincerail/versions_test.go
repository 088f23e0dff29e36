package main_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"quincerail.example/quincerail/internal/dispatchtest"
	"quincerail.example/quincerail/internal/fakes"
)

// The tests of versions side by side start processes of two builds of the
// program and speak to them over sockets only, as balancers and operators do:
// what they rely on is what may not change between versions. Each test runs with
// the program of this tree in both places, and with an earlier program where the
// environment names one (scripts/versions-side-by-side builds it).

// previousProgramVariable is the environment variable with the path of the
// earlier program.
const previousProgramVariable = "QUINCERAIL_PREVIOUS_PROGRAM"

// versionPair is two builds of the program, as paths.
type versionPair struct{ previous, current string }

// forEachVersionPair runs a test for each pair of programs that there is.
func forEachVersionPair(t *testing.T, test func(t *testing.T, pair versionPair)) {
	t.Helper()
	t.Run("CurrentBesideCurrent", func(t *testing.T) {
		test(t, versionPair{previous: binary, current: binary})
	})
	t.Run("PreviousBesideCurrent", func(t *testing.T) {
		previous := os.Getenv(previousProgramVariable)
		if previous == "" {
			t.Skipf("not run: %s names no earlier program; scripts/versions-side-by-side builds one and runs this", previousProgramVariable)
		}
		test(t, versionPair{previous: previous, current: binary})
	})
}

const (
	// pollInterval is the time between two looks at a condition.
	pollInterval = 10 * time.Millisecond
	// conditionTimeout bounds the wait for a condition.
	conditionTimeout = 30 * time.Second
)

// eventually waits until a condition holds; a test that waits in vain fails with
// what there was instead.
func eventually(t *testing.T, what string, condition func() (instead string, ok bool)) {
	t.Helper()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for deadline := time.Now().Add(conditionTimeout); ; <-ticker.C {
		instead, ok := condition()
		if ok {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v: %s", what, conditionTimeout, instead)
		}
	}
}

// keyedRequest is a request that must run once, however often it is sent.
type keyedRequest struct{ key, body string }

const (
	keyedClass = "ny-gava"
	// keyWindow is how long a key holds in these tests: for the whole test.
	keyWindow = 10 * time.Minute
	// resendPause is the time until a request that was not taken in is sent again.
	resendPause = 20 * time.Millisecond
)

// serve sends the request until it is served, and again where it was refused or
// its connection ended. It returns how often it was sent.
func (r keyedRequest) serve(ctx context.Context, address string) (sent int, err error) {
	ctx, cancel := context.WithTimeout(ctx, conditionTimeout)
	defer cancel()
	for ctx.Err() == nil {
		sent++
		var outcome fakes.Outcome
		outcome, err = r.send(address)
		switch {
		case err != nil, outcome.Kind == "refused":
		case outcome == fakes.Outcome{Kind: "served", Body: fakes.Result(r.body)}:
			return sent, nil
		default:
			return sent, fmt.Errorf("%s: %+v", r.key, outcome)
		}
		time.Sleep(resendPause)
	}
	return sent, fmt.Errorf("%s: not served in %d tries (the last: %w)", r.key, sent, err)
}

// send sends the request once and waits for its outcome.
func (r keyedRequest) send(address string) (fakes.Outcome, error) {
	try, err := fakes.Thrift(address, keyedClass, r.key, r.body)
	if err != nil {
		return fakes.Outcome{}, err
	}
	if err := try.Send(); err != nil {
		return fakes.Outcome{}, err
	}
	return try.Outcome()
}

// exampleSettings returns the settings of the example's configuration, changed
// by adjustSettings.
func exampleSettings(t *testing.T) map[string]any {
	t.Helper()
	var config map[string]any
	must(t, 0, json.Unmarshal([]byte(dispatchtest.ReadExample(t, "config.json")), &config))
	adjustSettings(config)
	return object(config["settings"])
}

// adjustSettings has the keys of a configuration last through a test, with room
// for them, and a drain begin to refuse early.
func adjustSettings(config map[string]any) {
	settings := object(config["settings"])
	info := object(settings["familyInfo"])
	info["cores"], info["keyKb"] = 16, 0.05
	info["callsByClass"] = []bool{true, false, false} // keyed requests wait for no calls
	object(settings["obligations"])["drainGraceUs"] = 200_000
	lanes, _ := settings["lanes"].([]any)
	for _, lane := range lanes {
		if l := object(lane); l["name"] == keyedClass {
			l["windowUs"] = keyWindow.Microseconds()
		}
	}
}

// awaitReady waits until a process reports, by the operators' call, that it takes
// requests.
func awaitReady(t *testing.T, control string) {
	t.Helper()
	eventually(t, "the process takes requests", func() (string, bool) {
		answer, err := checkReady(t.Context(), control)
		return fmt.Sprint(answer, err), err == nil && answer == "done\r\n"
	})
}

func checkReady(ctx context.Context, control string) (string, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", control)
	if err != nil {
		return "", err
	}
	defer closeQuietly(conn)
	if _, err := io.WriteString(conn, "check\r\n"); err != nil {
		return "", err
	}
	return bufio.NewReader(conn).ReadString('\n')
}

// closeQuietly closes what the test's end closes anyway.
func closeQuietly(c io.Closer) { _ = c.Close() }

// object gives a JSON object; nil for another value.
func object(v any) map[string]any {
	o, _ := v.(map[string]any)
	return o
}

// Log events that these tests look at, by all names that versions of the program
// give them: where an event is renamed, its new name is added here.
var (
	leaseEvents    = []string{"lease"}
	handoverEvents = []string{"handover"}
	// expectedWarnings come of what the tests do: processes and parties end, nobody
	// plays the announce service in a fleet, and busy machines let leases run out.
	expectedWarnings = []string{
		"announce", "fleet_direction_refused", "rollout_directive_refused", "fleet_publish_failed",
		"fleet_share_fenced", "quota_member_fenced",
		"lease_lapsed", "processor_link_lost", "processor_reject", "rollout_refused", "suppressed",
	}
	// unreadableMarks are parts of the names of events, of any level, that report
	// a stored record or a message that could not be read.
	unreadableMarks = []string{"unreadable", "undecodable", "malformed", "corrupt", "damaged", "message_refused", "keys_lost"}
)

// logFault says what is wrong with a line of a process's log; "" for nothing.
func logFault(event, level, text string) string {
	if strings.HasPrefix(text, "panic:") || level == "ERROR" {
		return "a fault"
	}
	if slices.ContainsFunc(unreadableMarks, func(mark string) bool { return strings.Contains(event, mark) }) {
		return "an unreadable record or message"
	}
	if level == "WARN" && !slices.Contains(expectedWarnings, event) {
		return "an unexpected warning"
	}
	return ""
}
