package config

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/describe"
	"quincerail.example/quincerail/internal/dispatchtest"
	"quincerail.example/quincerail/match"
)

// TestParse_InvalidKeyIsNamed checks that an invalid key gives a one-line *KeyError that names
// it.
func TestParse_InvalidKeyIsNamed(t *testing.T) {
	text := dispatchtest.ReadExample(t, "config.json")
	if _, err := Parse(text); err != nil {
		t.Fatalf("Parse(example config.json) = %v, want no error", err)
	}
	for _, test := range []struct{ old, new, key string }{
		{`"name": "n1"`, `"name": 1`, "name"},
		{`"listen": "127.0.0.1:9090"`, `"listen": ""`, "listen"},
		{`"stop_ms": 3200`, `"stop_ms": -1`, "stop_ms"},
		{`"memory_mb": 192`, `"memory_mb": "192"`, "limits.memory_mb"},
		{`"seed": "8c1f`, `"seed": "xyz`, "seed"},
		{`"settings": {`, `"other": {`, "settings"},
		{`"hardLimitUs": 4600000`, `"hardLimitUs": -5`, "Classes[1].Deadline"},
		{`"stopMode": "drop"`, `"stopMode": "never"`, "stopMode"},
		{`"ledger": "127.0.0.1:7700",`, ``, "ledger"},
		{`{`, `[`, "GW_CONFIG"},
	} {
		_, err := Parse(strings.Replace(text, test.old, test.new, 1))
		if err == nil || !strings.Contains(err.Error(), test.key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("Parse with %q for %q = %v, want a one-line error that names %s", test.new, test.old, err, test.key)
		}
		var keyError *KeyError
		if !errors.As(err, &keyError) || keyError.Key == "" || err.Error() != keyError.Key+": "+keyError.Err.Error() {
			t.Errorf("Parse with %q in place of %q = %#v, want a *KeyError", test.new, test.old, err)
		}
	}
}

// TestParse_InvalidTenantKeyIsNamed checks that an invalid key of a tenant, or another key of a
// deployment with tenants, gives a one-line error that names it.
func TestParse_InvalidTenantKeyIsNamed(t *testing.T) {
	text := dispatchtest.ReadExample(t, "tenants.json")
	c, err := Parse(text)
	if err != nil || !slices.Equal(c.Tenants, []string{"north", "coast", "lake"}) || c.Settings.Tenants[1].Quota != 36 {
		t.Fatalf("Parse(example tenants.json) = %+v, %v, want tenants north, coast and lake, and a quota of 36 for coast", c, err)
	}
	for _, test := range []struct{ old, new, key string }{
		{`"name": "coast", `, ``, "settings.realms.1.name"},
		{`"name": "coast"`, `"name": "north"`, "settings.realms.1.name"},
		{`"quotaRps": 24.0, "share": 0.2`, `"quotaRps": 24.0`, "settings.realms.2.share"},
		{`"share": 0.2`, `"share": "0.2"`, "settings.realms.2.share"},
		{`"share": 0.2`, `"share": -0.2`, "settings.realms.2.share"},
		{`"share": 0.2`, `"share": 0.1`, "settings.realms: the shares add up to 0.900"},
		{`"share": 0.2`, `"share": 20`, "settings.realms: the shares add up to 20.800"},
		{`"quotaRps": 36.0, `, ``, "settings.realms.1.quotaRps"},
		{`"quotaRps": 36.0`, `"quotaRps": -1`, "settings.realms.1.quotaRps"},
		{`"say": "min_rank"`, `"say": "loud"`, "say"},
	} {
		changed := strings.Replace(text, test.old, test.new, 1)
		if _, err := Parse(changed); changed == text || err == nil || !strings.Contains(err.Error(), test.key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("Parse with %q for %q = %v, want a one-line error that names %s", test.new, test.old, err, test.key)
		}
	}
}

// TestMissingKey_OptionalKeysMayDiffer checks that a reload can replace each example by the
// other, although one lacks keys that deployments may leave out.
func TestMissingKey_OptionalKeysMayDiffer(t *testing.T) {
	first, second := dispatchtest.ReadExample(t, "config.json"), dispatchtest.ReadExample(t, "tenants.json")
	first = strings.Replace(first, `"gain": 2.0,`, `"gain": 2.0, "aimStretch": 1.5,`, 1)
	first = strings.Replace(first, `"prices": {`, `"prices": {"fleet": 0.1, `, 1)
	second = strings.Replace(second, `"passesDeadline": true,`, ``, 1)
	var configs []*Config
	for _, text := range []string{first, second} {
		c, err := Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		configs = append(configs, c)
	}
	for i, c := range configs {
		if key := c.missingKey(configs[1-i]); key != "" {
			t.Errorf("missingKey of file %d = %q, want none", i, key)
		}
	}
}

// TestMissingKey_FindsKeyAtAnyDepth checks that a key of the active configuration that a file
// lacks is found at any depth, and that an additional key is not reported.
func TestMissingKey_FindsKeyAtAnyDepth(t *testing.T) {
	text := dispatchtest.ReadExample(t, "config.json")
	parse := func(text string) *Config {
		c, err := Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	for _, test := range []struct{ old, new, key string }{
		{`"drainGraceUs": 2000000, `, ``, "settings.obligations.drainGraceUs"},
		{`"servers": 1,`, ``, "settings.servers"},
		{`"lateWorth": 0.0, "name": "givarhistorik"`, `"name": "givarhistorik"`, "settings.lanes.1.lateWorth"},
		{`"memoryKb": 28248.0,`, `"memoryKb": null,`, "settings.familyInfo.memoryKb"},
		{`"name": "n1",`, `"name": "n1", "motto": "ge",`, ""},
		{`"control": "127.0.0.1:9600",`, ``, "control"},
	} {
		if got := parse(strings.Replace(text, test.old, test.new, 1)).missingKey(parse(text)); got != test.key {
			t.Errorf("missingKey with %q for %q = %q, want %q", test.new, test.old, got, test.key)
		}
	}
}

// TestRestartKeys checks that RestartKeys returns the changed keys that a reload can't apply,
// and no others.
func TestRestartKeys(t *testing.T) {
	text := dispatchtest.ReadExample(t, "config.json")
	parse := func(text string) *Config {
		c, err := Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	active := parse(text)
	for _, test := range []struct {
		old, new string
		want     []string
	}{
		{`"name": "n1"`, `"name": "n2"`, []string{"name"}},
		{`"listen": "127.0.0.1:9090"`, `"listen": "127.0.0.1:9091"`, []string{"listen"}},
		{`"control": "127.0.0.1:9600"`, `"control": "127.0.0.1:9601"`, []string{"control"}},
		{`"sockets": `, `"sockets": 1`, []string{"limits.sockets"}},
		{`"ownStats": [`, `"ownStats": ["further", `, []string{"settings.familyInfo.ownStats"}},
		{`"stop_ms": 3200`, `"stop_ms": 3100`, nil},
		{`"ledger": "127.0.0.1:7700"`, `"ledger": "127.0.0.1:7701"`, nil},
	} {
		changed := strings.Replace(text, test.old, test.new, 1)
		if got := parse(changed).RestartKeys(active); changed == text || !slices.Equal(got, test.want) {
			t.Errorf("RestartKeys with %q in place of %q = %q, want %q", test.new, test.old, got, test.want)
		}
	}
}

// TestLoadUWSGI_InvalidKeyIsNamed checks the defaults, and that an invalid key gives a one-line
// error that names it.
func TestLoadUWSGI_InvalidKeyIsNamed(t *testing.T) {
	const valid = "listen = \"127.0.0.1:1\"\nbackend = \"127.0.0.1:2\"\n[[route]]\npath = \"/g\"\nclass = \"ny-gava\"\n"
	classes := []string{"kampanjsida", "givarhistorik", "ny-gava"}
	path := filepath.Join(t.TempDir(), "uwsgi.toml")
	load := func(text string) (*UWSGI, error) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return LoadUWSGI(path, classes)
	}
	c, err := load(valid)
	if err != nil || c.MaxBody != defaultMaxBody || c.KeyVariable != "HTTP_IDEMPOTENCY_KEY" {
		t.Errorf("LoadUWSGI(valid file) = %+v, %v, want the default max_body and key_variable", c, err)
	}
	for _, test := range []struct{ old, new, key string }{
		{`listen = "127.0.0.1:1"`, ``, "listen"},
		{`"127.0.0.1:2"`, `"nowhere"`, "backend"},
		{`"ny-gava"`, `"gava"`, "route.class"},
		{`"/g"`, `"g"`, "route.path"},
		{`listen`, "max_body = -1\nlisten", "max_body"},
		{`listen`, "liste = 1\nlisten", "liste"},
		{`listen`, "describe = \"missing.json\"\nlisten", "describe"},
		{`[[route]]`, "[[rutt]]", "rutt"},
		{`backend = `, `backend `, "--uwsgi"},
	} {
		_, err := load(strings.Replace(valid, test.old, test.new, 1))
		if err == nil || !strings.Contains(err.Error(), test.key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("LoadUWSGI with %q for %q = %v, want a one-line error that names %s", test.new, test.old, err, test.key)
		}
	}
	if _, err := LoadUWSGI(filepath.Join("..", "deploy", "uwsgi.toml"), classes); err != nil {
		t.Errorf("LoadUWSGI(deploy/uwsgi.toml) = %v, want no error", err)
	}
}

// TestDeployFiles_Agree checks that the API documents, the uwsgi frontend's file and the
// operator's rules in deploy/ assign the same classes, and that the documents define these
// classes as the platform's settings do.
func TestDeployFiles_Agree(t *testing.T) {
	config, err := Parse(dispatchtest.ReadExample(t, "config.json"))
	if err != nil {
		t.Fatal(err)
	}
	uwsgi, err := LoadUWSGI(filepath.Join("..", "deploy", "uwsgi.toml"), config.Classes)
	if err != nil {
		t.Fatal(err)
	}
	rules, err := match.Load(filepath.Join("..", "deploy", "rules.toml"), config.Classes)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"openapi.json", "asyncapi.json"} {
		text, err := os.ReadFile(filepath.Join("..", "deploy", name))
		if err != nil {
			t.Fatal(err)
		}
		doc, err := describe.Parse(text)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		for _, r := range doc.Routes {
			if got, ok := uwsgi.routes().Match(r.Method, r.Path); !ok || got.Class != r.Class || got.KeyHeader != headerVariable(r.KeyHeader) {
				t.Errorf("%s: route %+v, but uwsgi.toml has %+v", name, r, got)
			}
		}
		if conflicts := rules.DescriptionConflicts(doc); len(conflicts) > 0 {
			t.Errorf("%s and rules.toml conflict: %q", name, conflicts)
		}
		for _, c := range doc.Classes {
			want := config.Settings.Classes[slices.Index(config.Classes, c.Name)]
			want.CallsDependency, want.DegradedWeight = false, 0 // not part of the API documents
			if want.Idempotency != decision.Keyed {
				want.KeyWindow = 0
			}
			if c.Class != want {
				t.Errorf("%s: class %+v, want %+v as in the settings", name, c, want)
			}
		}
	}
}

// TestLoadUWSGI_RoutesFromDocument checks that routes and their key variables are read from an
// API document.
func TestLoadUWSGI_RoutesFromDocument(t *testing.T) {
	doc, err := os.ReadFile(filepath.Join("..", "describe", "testdata", "openapi.json"))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "api.json"), doc, 0o600); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "uwsgi.toml")
	text := "listen = \"127.0.0.1:1\"\nbackend = \"127.0.0.1:2\"\ndescribe = \"api.json\"\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := LoadUWSGI(path, []string{"kampanjsida", "ny-gava"})
	if err != nil {
		t.Fatal(err)
	}
	if r, ok := c.routes().Match("POST", "/gavor"); !ok || r.Class != "ny-gava" || r.KeyHeader != "HTTP_X_GAVA" {
		t.Errorf("Match(POST, /gavor) = %+v, %t, want class ny-gava with the key variable HTTP_X_GAVA", r, ok)
	}
}
