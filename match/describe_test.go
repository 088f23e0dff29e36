package match

import (
	"strings"
	"testing"

	"quincerail.example/quincerail/describe"
)

// TestDescriptionConflicts_ReportsEachConflict compares rules with a description that
// contradicts them. It must report every conflict and nothing else.
func TestDescriptionConflicts_ReportsEachConflict(t *testing.T) {
	doc, err := describe.Parse([]byte(`{
  "openapi": "3.0.3", "info": {"title": "t", "version": "1"},
  "x-quincerail-classes": {
    "kampanjsida": {"aim_ms": 2800, "deadline_ms": 9200},
    "givarhistorik": {"aim_ms": 1700, "deadline_ms": 4600},
    "ny-gava": {"aim_ms": 1800, "deadline_ms": 6900, "effect": "keyed", "window_ms": 20706}
  },
  "paths": {
    "/kampanjer/{k}": {"get": {"x-quincerail-class": "kampanjsida", "x-quincerail-rule": "sida",
      "parameters": [{"name": "k", "in": "path", "required": true, "schema": {"type": "string"}}], "responses": {"200": {"description": "ok"}}}},
    "/gavor": {"post": {"x-quincerail-class": "ny-gava", "x-quincerail-rule": "gava", "responses": {"200": {"description": "ok"}}}},
    "/givare/{g}/historik": {"get": {"x-quincerail-class": "givarhistorik",
      "parameters": [{"name": "g", "in": "path", "required": true, "schema": {"type": "string"}}], "responses": {"200": {"description": "ok"}}}},
    "/snabbgava": {"post": {"x-quincerail-class": "ny-gava", "responses": {"200": {"description": "ok"}}}},
    "/om": {"get": {"x-quincerail-class": "kampanjsida", "x-quincerail-rule": "om", "responses": {"200": {"description": "ok"}}}},
    "/kvitto": {"get": {"x-quincerail-class": "kampanjsida", "x-quincerail-rule": "sida", "responses": {"200": {"description": "ok"}}}}
  }}`))
	if err != nil {
		t.Fatal(err)
	}
	s := mustParse(t, `
[[rule]]
name  = "sida"
match = 'path.startsWith("/kampanjer/")'
class = '"kampanjsida"'
[[rule]]
name  = "gava"
match = 'path == "/gavor"'
class = '"ny-gava"'
key   = 'headers["idempotency-key"]'
[[rule]]
name  = "historik"
match = 'path.endsWith("/historik")'
class = '"kampanjsida"'
[[rule]]
name  = "snabb"
match = 'path == "/snabbgava"'
class = '"ny-gava"'
key   = 'headers[?"x-nyckel"].orValue("")'
`)
	want := []string{
		`GET /givare/{g}/historik: rule "historik" gives class "kampanjsida", the description "givarhistorik"`,
		`GET /kvitto: the description names rule "sida", but no rule matches`,
		`GET /om: the description names rule "om", which does not exist`,
		`POST /snabbgava: rule "snabb" gives no key for the keyed class "ny-gava"`,
	}
	if got := s.DescriptionConflicts(doc); strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("DescriptionConflicts() =\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}
