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

// readTestdata reads a document from testdata.
func readTestdata(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestParse_OpenAPIAndAsyncAPI reads a document of each kind and checks its routes and its
// last class.
func TestParse_OpenAPIAndAsyncAPI(t *testing.T) {
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
		d, err := Parse([]byte(readTestdata(t, name)))
		if err != nil {
			t.Errorf("Parse of %s: %v", name, err)
			continue
		}
		if !reflect.DeepEqual(d.Routes, want) {
			t.Errorf("Parse of %s: routes %v, want %v", name, d.Routes, want)
		}
		gift := Class{"ny-gava", decision.Class{
			LatencyObjective: 1800 * time.Millisecond, Deadline: 6900 * time.Millisecond,
			Weight: 3, LateWeight: 0.2, Idempotency: decision.Keyed, KeyWindow: 20706 * time.Millisecond,
		}}
		if got := d.Classes[len(d.Classes)-1]; got != gift {
			t.Errorf("Parse of %s: last class %v, want %v", name, got, gift)
		}
	}
}

// TestMatch_RoutesAndTable looks up requests in the list of routes and in the table.
func TestMatch_RoutesAndTable(t *testing.T) {
	d, err := Parse([]byte(readTestdata(t, "openapi.json")))
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
			t.Errorf("Routes.Match(%s, %s) = %q, %t, want %q", x.method, x.path, r.Path, ok, x.want)
		}
		if r, ok := table.Match(x.method, x.path); ok != (x.want != "") || r.Path != x.want {
			t.Errorf("Table.Match(%s, %s) = %q, %t, want %q", x.method, x.path, r.Path, ok, x.want)
		}
	}
}

// TestParse_ErrorNamesInvalidPart replaces one part of a valid document by an invalid one. The
// error must name that part.
func TestParse_ErrorNamesInvalidPart(t *testing.T) {
	for _, x := range []struct{ file, old, new, want string }{
		{"openapi.json", `"x-quincerail-class": "ny-gava"`, `"x-quincerail-class": "gava"`, `class "gava"`},
		{"openapi.json", `"aim_ms": 1800`, `"aim_ms": 0`, "ny-gava.aim_ms"},
		{"openapi.json", `"deadline_ms": 6900`, `"deadline_ms": 900`, "ny-gava.deadline_ms"},
		{"openapi.json", `"window_ms": 20706`, `"window_ms": 0`, "ny-gava.window_ms"},
		{"openapi.json", `"effect": "keyed"`, `"effect": "once"`, "ny-gava.effect"},
		{"openapi.json", `"aim_ms": 1800`, `"aim_ms": "soon"`, "x-quincerail-classes.ny-gava.aim_ms: must be a positive number of milliseconds"},
		{"openapi.json", `"openapi"`, `"swagger"`, "neither"},
		{"openapi.json", `"title": "Gåvor", `, ``, "OpenAPI document"},
		{"openapi.json", `{`, `[`, "not a JSON"},
		{"asyncapi.json", `"3.0.0"`, `"2.6.0"`, "want 3.x"},
		{"asyncapi.json", `"#/channels/gavor"`, `"#/channels/pengar"`, "operations.taEmotGava"},
		{"asyncapi.json", `"address": "/gavor"`, `"address": "gavor"`, "begin with /"},
	} {
		text := strings.Replace(readTestdata(t, x.file), x.old, x.new, 1)
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("Parse of %s with %s: got error %v, want one that contains %q", x.file, x.new, err, x.want)
		}
	}
}

// TestParse_ClassErrorNamesClassAndKey reads a keyed class with a window of 0. The error must
// contain the class and the key.
func TestParse_ClassErrorNamesClassAndKey(t *testing.T) {
	text := strings.Replace(readTestdata(t, "asyncapi.json"), `"window_ms": 20706`, `"window_ms": 0`, 1)
	_, err := Parse([]byte(text))
	var classError *ClassError
	if !errors.As(err, &classError) || classError.Class != "ny-gava" || classError.Key != "window_ms" {
		t.Errorf("Parse with a window of 0: got error %v, want a *ClassError for ny-gava.window_ms", err)
	}
}
