package describe

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

// readDocument reads a document of testdata.
func readDocument(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestDocuments reads a document of each kind: its routes, and its last class.
func TestDocuments(t *testing.T) {
	for name, want := range map[string]Routes{
		"openapi.json": {
			{"POST", "/gavor", "ny-gava", "X-Gava", ""},
			{"GET", "/kampanjer/alla", "kampanjsida", "X-Alla", ""},
			{"GET", "/kampanjer/{kampanj}", "kampanjsida", DefaultKeyHeader, ""},
		},
		"asyncapi.json": {
			{"POST", "/gavor", "ny-gava", DefaultKeyHeader, ""},
			{"PUT", "/kvitton", "ny-gava", "X-Kvitto", ""},
		},
	} {
		d, err := Load([]byte(readDocument(t, name)))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if !reflect.DeepEqual(d.Routes, want) {
			t.Errorf("%s: routes %v, want %v", name, d.Routes, want)
		}
		gift := Class{"ny-gava", decision.Class{
			LatencyObjective: 1800 * time.Millisecond, Deadline: 6900 * time.Millisecond,
			Weight: 3, LateWeight: 0.2, Idempotency: decision.Keyed, KeyWindow: 20706 * time.Millisecond,
		}}
		if got := d.Classes[len(d.Classes)-1]; got != gift {
			t.Errorf("%s: class %v, want %v", name, got, gift)
		}
	}
}

// TestMatch finds routes in the list and in the table.
func TestMatch(t *testing.T) {
	d, err := Load([]byte(readDocument(t, "openapi.json")))
	if err != nil {
		t.Fatal(err)
	}
	table := d.Routes.Compile()
	for _, x := range []struct{ method, path, want string }{
		{"GET", "/kampanjer/jul", "/kampanjer/{kampanj}"},
		{"GET", "/kampanjer/alla", "/kampanjer/alla"},
		{"GET", "/kampanjer/", ""},
		{"GET", "/kampanjer/jul/bild", ""},
		{"GET", "/gavor", ""},
		{"post", "/gavor", "/gavor"},
		{"GET", "/om", ""},
	} {
		if r, ok := d.Routes.Match(x.method, x.path); ok != (x.want != "") || r.Path != x.want {
			t.Errorf("%s %s: %q, %t, want %q", x.method, x.path, r.Path, ok, x.want)
		}
		if r, ok := table.Match(x.method, x.path); ok != (x.want != "") || r.Path != x.want {
			t.Errorf("%s %s: %q, %t in the table, want %q", x.method, x.path, r.Path, ok, x.want)
		}
	}
}

// TestFaults changes one place of a document: the error names it.
func TestFaults(t *testing.T) {
	for _, x := range []struct{ file, old, new, want string }{
		{"openapi.json", `"x-quincerail-class": "ny-gava"`, `"x-quincerail-class": "gava"`, `class "gava"`},
		{"openapi.json", `"aim_ms": 1800`, `"aim_ms": 0`, "ny-gava.aim_ms"},
		{"openapi.json", `"deadline_ms": 6900`, `"deadline_ms": 900`, "ny-gava.deadline_ms"},
		{"openapi.json", `"window_ms": 20706`, `"window_ms": 0`, "ny-gava.window_ms"},
		{"openapi.json", `"effect": "keyed"`, `"effect": "once"`, "ny-gava.effect"},
		{"openapi.json", `"aim_ms": 1800`, `"aim_ms": "soon"`, "x-quincerail-classes.ny-gava.aim_ms: a time wanted"},
		{"openapi.json", `"openapi"`, `"swagger"`, "neither"},
		{"openapi.json", `"title": "Gåvor", `, ``, "OpenAPI document"},
		{"openapi.json", `{`, `[`, "not a JSON"},
		{"asyncapi.json", `"3.0.0"`, `"2.6.0"`, "3 wanted"},
		{"asyncapi.json", `"#/channels/gavor"`, `"#/channels/pengar"`, "operations.taEmotGava"},
		{"asyncapi.json", `"address": "/gavor"`, `"address": "gavor"`, "begin with /"},
	} {
		text := strings.Replace(readDocument(t, x.file), x.old, x.new, 1)
		if _, err := Load([]byte(text)); err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("%s with %s: error %v, want %q in it", x.file, x.new, err, x.want)
		}
	}
}

// TestClassError reads a class without a window: the error has the class and the key.
func TestClassError(t *testing.T) {
	text := strings.Replace(readDocument(t, "asyncapi.json"), `"window_ms": 20706`, `"window_ms": 0`, 1)
	_, err := Load([]byte(text))
	var classError *ClassError
	if !errors.As(err, &classError) || classError.Class != "ny-gava" || classError.Key != "window_ms" {
		t.Errorf("%v, want a *ClassError of ny-gava.window_ms", err)
	}
}
