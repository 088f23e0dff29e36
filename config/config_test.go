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

func TestConfigFaults(t *testing.T) {
	text := dispatchtest.ReadExample(t, "config.json")
	if _, err := Parse(text); err != nil {
		t.Fatalf("the example: %v", err)
	}
	for _, x := range []struct{ old, new, key string }{
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
		_, err := Parse(strings.Replace(text, x.old, x.new, 1))
		if err == nil || !strings.Contains(err.Error(), x.key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line that names %s", x.new, err, x.key)
		}
		var keyError *KeyError
		if !errors.As(err, &keyError) || keyError.Key == "" || err.Error() != keyError.Key+": "+keyError.Err.Error() {
			t.Errorf("%s: error %#v, want a KeyError", x.new, err)
		}
	}
}

// TestTenantFaults has what makes no sense of tenants, and of the deployment that has
// them, named by its key in one line; such a file is turned down whole.
func TestTenantFaults(t *testing.T) {
	text := dispatchtest.ReadExample(t, "tenants.json")
	c, err := Parse(text)
	if err != nil || !slices.Equal(c.Tenants, []string{"north", "coast", "lake"}) || c.Settings.Tenants[1].Quota != 36 {
		t.Fatalf("%+v, %v", c, err)
	}
	for _, x := range []struct{ old, new, key string }{
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
		changed := strings.Replace(text, x.old, x.new, 1)
		if _, err := Parse(changed); changed == text || err == nil || !strings.Contains(err.Error(), x.key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s for %s: error %v, want one line that names %s", x.new, x.old, err, x.key)
		}
	}
}

// TestConfigsOfTwoDeployments: either example follows the other by SIGHUP, though one
// leaves out what deployments may.
func TestConfigsOfTwoDeployments(t *testing.T) {
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
			t.Errorf("file %d lacks %s of the other", i, key)
		}
	}
}

// TestConfigLacks guards a reload against a file with a key missing that the one
// in force has, wherever it stands; a further class or key is none missing.
func TestConfigLacks(t *testing.T) {
	text := dispatchtest.ReadExample(t, "config.json")
	parse := func(text string) *Config {
		c, err := Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	for _, x := range []struct{ old, new, key string }{
		{`"drainGraceUs": 2000000, `, ``, "settings.obligations.drainGraceUs"},
		{`"servers": 1,`, ``, "settings.servers"},
		{`"lateWorth": 0.0, "name": "givarhistorik"`, `"name": "givarhistorik"`, "settings.lanes.1.lateWorth"},
		{`"memoryKb": 28248.0,`, `"memoryKb": null,`, "settings.familyInfo.memoryKb"},
		{`"name": "n1",`, `"name": "n1", "motto": "ge",`, ""},
		{`"control": "127.0.0.1:9600",`, ``, "control"},
	} {
		if got := parse(strings.Replace(text, x.old, x.new, 1)).missingKey(parse(text)); got != x.key {
			t.Errorf("%s for %s: it lacks %q, want %q", x.new, x.old, got, x.key)
		}
	}
}

// TestRestartKeys names what a reload can't change, and nothing else.
func TestRestartKeys(t *testing.T) {
	text := dispatchtest.ReadExample(t, "config.json")
	parse := func(text string) *Config {
		c, err := Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	inForce := parse(text)
	for _, x := range []struct {
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
		changed := strings.Replace(text, x.old, x.new, 1)
		if got := parse(changed).RestartKeys(inForce); changed == text || !slices.Equal(got, x.want) {
			t.Errorf("%s for %s: %q, want %q", x.new, x.old, got, x.want)
		}
	}
}

func TestUWSGIConfig(t *testing.T) {
	const good = "listen = \"127.0.0.1:1\"\nbackend = \"127.0.0.1:2\"\n[[route]]\npath = \"/g\"\nclass = \"ny-gava\"\n"
	classes := []string{"kampanjsida", "givarhistorik", "ny-gava"}
	path := filepath.Join(t.TempDir(), "uwsgi.toml")
	load := func(text string) (*UWSGI, error) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return LoadUWSGI(path, classes)
	}
	c, err := load(good)
	if err != nil || c.MaxBody != defaultMaxBody || c.KeyVariable != "HTTP_IDEMPOTENCY_KEY" {
		t.Errorf("%+v, %v", c, err)
	}
	for _, x := range []struct{ old, new, key string }{
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
		_, err := load(strings.Replace(good, x.old, x.new, 1))
		if err == nil || !strings.Contains(err.Error(), x.key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line that names %s", x.new, err, x.key)
		}
	}
	if _, err := LoadUWSGI(filepath.Join("..", "deploy", "uwsgi.toml"), classes); err != nil {
		t.Errorf("deploy/uwsgi.toml: %v", err)
	}
}

// TestDeployDescriptions sees that the service's descriptions, the front's file
// and the operator's rules lead to the same classes, and say of these what the
// platform's settings do.
func TestDeployDescriptions(t *testing.T) {
	config, err := Parse(dispatchtest.ReadExample(t, "config.json"))
	if err != nil {
		t.Fatal(err)
	}
	front, err := LoadUWSGI(filepath.Join("..", "deploy", "uwsgi.toml"), config.Classes)
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
			if got, ok := front.routes().Match(r.Method, r.Path); !ok || got.Class != r.Class || got.KeyHeader != headerVariable(r.KeyHeader) {
				t.Errorf("%s: %+v, but uwsgi.toml has %+v", name, r, got)
			}
		}
		if disagree := rules.DescriptionConflicts(doc); len(disagree) > 0 {
			t.Errorf("%s and rules.toml: %q", name, disagree)
		}
		for _, c := range doc.Classes {
			want := config.Settings.Classes[slices.Index(config.Classes, c.Name)]
			want.CallsDependency, want.DegradedWeight = false, 0 // of no concern outside the platform
			if want.Idempotency != decision.Keyed {
				want.KeyWindow = 0
			}
			if c.Class != want {
				t.Errorf("%s: class %+v, want %+v", name, c, want)
			}
		}
	}
}

// TestUWSGIRoutesFromDocument takes routes and their keys from a description.
func TestUWSGIRoutesFromDocument(t *testing.T) {
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
		t.Errorf("POST /gavor: %+v, %t", r, ok)
	}
}
