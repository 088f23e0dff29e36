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

// The tests of versions side by side start processes of two builds of the program. They talk
// to the processes only over sockets, as balancers and operators do, so everything they rely on
// must stay the same between versions. Each test runs with the program of this tree in both
// roles. If the environment names an earlier program, each test also runs with the earlier
// program beside this tree's; scripts/versions-side-by-side builds the earlier program.

// previousProgramVariable is the environment variable with the path of the earlier program.
const previousProgramVariable = "QUINCERAIL_PREVIOUS_PROGRAM"

// versionPair holds the paths of two builds of the program.
type versionPair struct{ previous, current string }

// forEachVersionPair runs a test for each available pair of programs.
func forEachVersionPair(t *testing.T, test func(t *testing.T, pair versionPair)) {
	t.Helper()
	t.Run("CurrentBesideCurrent", func(t *testing.T) {
		test(t, versionPair{previous: binary, current: binary})
	})
	t.Run("PreviousBesideCurrent", func(t *testing.T) {
		previous := os.Getenv(previousProgramVariable)
		if previous == "" {
			t.Skipf("not run: %s names no earlier program; scripts/versions-side-by-side builds one and runs this test", previousProgramVariable)
		}
		test(t, versionPair{previous: previous, current: binary})
	})
}

const (
	// pollInterval is the time between two checks of a condition.
	pollInterval = 10 * time.Millisecond
	// conditionTimeout is the longest wait for a condition.
	conditionTimeout = 30 * time.Second
)

// eventually waits until a condition holds. After conditionTimeout it fails the test with the
// last observation that the condition returned.
func eventually(t *testing.T, what string, condition func() (observed string, ok bool)) {
	t.Helper()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for deadline := time.Now().Add(conditionTimeout); ; <-ticker.C {
		observed, ok := condition()
		if ok {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s; last observed: %s", conditionTimeout, what, observed)
		}
	}
}

// keyedRequest is a request with an idempotency key. It must run once, however often it is sent.
type keyedRequest struct{ key, body string }

const (
	keyedClass = "ny-gava"
	// keyWindow is the time for which a key is remembered. It is longer than any of these tests.
	keyWindow = 10 * time.Minute
	// resendDelay is the delay before a request that was refused or whose connection failed is
	// sent again.
	resendDelay = 20 * time.Millisecond
)

// serve sends the request until it is served, and returns the number of attempts. After a refusal
// or a failed connection it sends the request again; any other outcome is an error.
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
			return sent, fmt.Errorf("key %s: outcome %+v, want served with its result", r.key, outcome)
		}
		time.Sleep(resendDelay)
	}
	return sent, fmt.Errorf("key %s: not served in %d attempts, last error: %w", r.key, sent, err)
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

// exampleSettings returns the settings in the example's config.json, changed by adjustSettings.
func exampleSettings(t *testing.T) map[string]any {
	t.Helper()
	var config map[string]any
	must(t, 0, json.Unmarshal([]byte(dispatchtest.ReadExample(t, "config.json")), &config))
	adjustSettings(config)
	return jsonObject(config["settings"])
}

// adjustSettings changes a configuration's settings so that idempotency keys are kept for a
// whole test and have enough memory, and that a drain starts to refuse requests early.
func adjustSettings(config map[string]any) {
	settings := jsonObject(config["settings"])
	info := jsonObject(settings["familyInfo"])
	info["cores"], info["keyKb"] = 16, 0.05
	info["callsByClass"] = []bool{true, false, false} // requests of keyedClass make no downstream calls
	jsonObject(settings["obligations"])["drainGraceUs"] = 200_000
	lanes, _ := settings["lanes"].([]any)
	for _, lane := range lanes {
		if l := jsonObject(lane); l["name"] == keyedClass {
			l["windowUs"] = keyWindow.Microseconds()
		}
	}
}

// awaitReady waits until a process answers the command "check" on its control port with "done",
// which means that it accepts requests.
func awaitReady(t *testing.T, control string) {
	t.Helper()
	eventually(t, "the process accepts requests", func() (string, bool) {
		answer, err := checkReady(t.Context(), control)
		return fmt.Sprint(answer, err), err == nil && answer == "done\r\n"
	})
}

// checkReady sends the command "check" to a control port, and returns the line of the answer.
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

// closeQuietly closes c and ignores the error. Use it only if the result of the test doesn't
// depend on the close.
func closeQuietly(c io.Closer) { _ = c.Close() }

// jsonObject returns a decoded JSON object, nil if v is another value.
func jsonObject(v any) map[string]any {
	o, _ := v.(map[string]any)
	return o
}

// The log events that these tests check, under all names that versions of the program use. When
// an event is renamed, its new name is added here and the old one stays.
var (
	leaseEvents    = []string{"lease"}
	handoverEvents = []string{"handover"}
	// expectedWarnings result from what the tests do: processes and fakes exit, the fleets have
	// no discovery service, and leases lapse on a busy machine.
	expectedWarnings = []string{
		"announce", "fleet_direction_refused", "rollout_directive_refused", "fleet_publish_failed",
		"fleet_share_fenced", "quota_member_fenced",
		"lease_lapsed", "processor_link_lost", "processor_connection_lost", "processor_reject", "rollout_refused",
		"suppressed",
	}
	// unreadableEventParts are parts of the names of events, of any level, that report a stored
	// record or a message that could not be decoded.
	unreadableEventParts = []string{"unreadable", "undecodable", "malformed", "corrupt", "damaged", "message_refused", "keys_lost"}
)

// logFault returns the fault that a line of a process's log reports, "" if it reports none.
func logFault(event, level, text string) string {
	if strings.HasPrefix(text, "panic:") || level == "ERROR" {
		return "a panic or an error"
	}
	if slices.ContainsFunc(unreadableEventParts, func(part string) bool { return strings.Contains(event, part) }) {
		return "an unreadable record or message"
	}
	if level == "WARN" && !slices.Contains(expectedWarnings, event) {
		return "an unexpected warning"
	}
	return ""
}
