package server

import (
	"cmp"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"

	"quincerail.example/quincerail/describe"
)

// UWSGIConfig is the file that switches the uwsgi front on.
type UWSGIConfig struct {
	Listen      string       `toml:"listen"`
	Backend     string       `toml:"backend"`      // where the requests of this front run
	KeyVariable string       `toml:"key_variable"` // holds the key of a keyed request, where its route names none
	HealthPath  string       `toml:"health_path"`  // answered by the front itself; empty for none
	MaxBody     int          `toml:"max_body"`     // bytes
	Describe    string       `toml:"describe"`     // an OpenAPI or AsyncAPI document with further routes
	Routes      []UWSGIRoute `toml:"route"`
}

// UWSGIRoute leads requests to a class.
type UWSGIRoute struct {
	Method      string `toml:"method"` // empty for every method
	Path        string `toml:"path"`   // with {name} for one segment
	Class       string `toml:"class"`
	KeyVariable string `toml:"key_variable"` // empty for that of all routes
}

const (
	defaultMaxBody = 64 << 10
	mostMaxBody    = 1 << 20 // what all connections may hold together must fit the memory
)

// LoadUWSGI reads the front's file. An error names the key at fault.
func LoadUWSGI(path string, classes []string) (*UWSGIConfig, error) {
	c := &UWSGIConfig{}
	meta, err := toml.DecodeFile(path, c)
	if err != nil {
		return nil, fmt.Errorf("--uwsgi: %w", err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: not known in %s", unknown[0], path)
	}
	for _, address := range []struct{ key, value string }{{"listen", c.Listen}, {"backend", c.Backend}} {
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return nil, fmt.Errorf("%s: an address with a port wanted: %w", address.key, err)
		}
	}
	c.KeyVariable = cmp.Or(c.KeyVariable, "HTTP_IDEMPOTENCY_KEY")
	c.MaxBody = cmp.Or(c.MaxBody, defaultMaxBody)
	if c.MaxBody < 0 || c.MaxBody > mostMaxBody {
		return nil, fmt.Errorf("max_body: from 1 to %d wanted", mostMaxBody)
	}
	if c.Describe != "" {
		text, err := os.ReadFile(filepath.Join(filepath.Dir(path), c.Describe))
		if err != nil {
			return nil, fmt.Errorf("describe: %w", err)
		}
		doc, err := describe.Load(text)
		if err != nil {
			return nil, fmt.Errorf("describe: %w", err)
		}
		for _, r := range doc.Routes {
			c.Routes = append(c.Routes, UWSGIRoute{r.Method, r.Path, r.Class, variable(r.KeyHeader)})
		}
	}
	if len(c.Routes) == 0 {
		return nil, fmt.Errorf("route: at least one wanted")
	}
	for _, r := range c.Routes {
		if !slices.Contains(classes, r.Class) {
			return nil, fmt.Errorf("route.class: %q is not in the settings", r.Class)
		}
		if !strings.HasPrefix(r.Path, "/") {
			return nil, fmt.Errorf("route.path: %q does not begin with /", r.Path)
		}
	}
	return c, nil
}

// routes gives the routes, each with the variable that holds its key.
func (c *UWSGIConfig) routes() describe.Routes {
	var routes describe.Routes
	for _, r := range c.Routes {
		routes = append(routes, describe.Route{
			Method: r.Method, Path: r.Path, Class: r.Class,
			KeyHeader: cmp.Or(r.KeyVariable, c.KeyVariable),
		})
	}
	return routes
}

// variable is the name under which web servers pass a header on.
func variable(header string) string {
	return "HTTP_" + strings.ToUpper(strings.ReplaceAll(header, "-", "_"))
}
