package config

import (
	"cmp"
	"errors"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"

	"quincerail.example/quincerail/describe"
)

// UWSGI is the configuration of the uwsgi frontend, from its file.
type UWSGI struct {
	Listen      string       `toml:"listen"`
	Backend     string       `toml:"backend"`      // address of the backend that runs this frontend's requests
	KeyVariable string       `toml:"key_variable"` // CGI variable with a request's idempotency key, for routes that name none
	HealthPath  string       `toml:"health_path"`  // path of the frontend's own health check; "" for none
	MaxBody     int          `toml:"max_body"`     // bytes
	Describe    string       `toml:"describe"`     // path, relative to this file, of an OpenAPI or AsyncAPI document with further routes
	Routes      []UWSGIRoute `toml:"route"`
}

// UWSGIRoute assigns a class to the requests with a method and path.
type UWSGIRoute struct {
	Method      string `toml:"method"` // "" for every method
	Path        string `toml:"path"`   // {name} matches one segment
	Class       string `toml:"class"`
	KeyVariable string `toml:"key_variable"` // "" for UWSGI.KeyVariable
}

const (
	flagUWSGI          = "--uwsgi" // names the file
	defaultKeyVariable = "HTTP_IDEMPOTENCY_KEY"
	defaultMaxBody     = 64 << 10 // bytes
	maxBodyLimit       = 1 << 20  // bytes; the bodies of all connections together must fit in memory
)

var errNoRoute = errors.New("at least one route is required")

// LoadUWSGI reads the uwsgi frontend's file, fills in its defaults, and validates it: a route
// may only have one of the given classes. The error is a *KeyError.
func LoadUWSGI(path string, classes []string) (*UWSGI, error) {
	c := &UWSGI{}
	meta, err := toml.DecodeFile(path, c)
	if err != nil {
		return nil, &KeyError{flagUWSGI, err}
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, keyErrorf(unknown[0].String(), "unknown key in %s", path)
	}
	if err := checkAddress("listen", c.Listen); err != nil {
		return nil, err
	}
	if err := checkAddress("backend", c.Backend); err != nil {
		return nil, err
	}
	c.KeyVariable = cmp.Or(c.KeyVariable, defaultKeyVariable)
	c.MaxBody = cmp.Or(c.MaxBody, defaultMaxBody)
	if c.MaxBody < 0 || c.MaxBody > maxBodyLimit {
		return nil, keyErrorf("max_body", "%d is not between 1 and %d bytes", c.MaxBody, maxBodyLimit)
	}
	if err := c.addDescribedRoutes(filepath.Dir(path)); err != nil {
		return nil, err
	}
	if err := c.checkRoutes(classes); err != nil {
		return nil, err
	}
	return c, nil
}

func checkAddress(key, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return keyErrorf(key, "must be an address with a port: %w", err)
	}
	return nil
}

// addDescribedRoutes adds the routes of the API document, whose path is relative to dir.
func (c *UWSGI) addDescribedRoutes(dir string) error {
	if c.Describe == "" {
		return nil
	}
	text, err := os.ReadFile(filepath.Join(dir, c.Describe))
	if err != nil {
		return &KeyError{"describe", err}
	}
	doc, err := describe.Parse(text)
	if err != nil {
		return &KeyError{"describe", err}
	}
	for _, r := range doc.Routes {
		c.Routes = append(c.Routes, UWSGIRoute{
			Method:      r.Method,
			Path:        r.Path,
			Class:       r.Class,
			KeyVariable: headerVariable(r.KeyHeader),
		})
	}
	return nil
}

func (c *UWSGI) checkRoutes(classes []string) error {
	if len(c.Routes) == 0 {
		return &KeyError{"route", errNoRoute}
	}
	for _, r := range c.Routes {
		if !slices.Contains(classes, r.Class) {
			return keyErrorf("route.class", "class %q is not in the settings", r.Class)
		}
		if !strings.HasPrefix(r.Path, "/") {
			return keyErrorf("route.path", "must begin with /, not %q", r.Path)
		}
	}
	return nil
}

// RouteTable returns the routes, each with the CGI variable of its idempotency key, compiled
// for lookups.
func (c *UWSGI) RouteTable() *describe.Table { return c.routes().Compile() }

func (c *UWSGI) routes() describe.Routes {
	var routes describe.Routes
	for _, r := range c.Routes {
		routes = append(routes, describe.Route{
			Method:    r.Method,
			Path:      r.Path,
			Class:     r.Class,
			KeyHeader: cmp.Or(r.KeyVariable, c.KeyVariable),
		})
	}
	return routes
}

// headerVariable returns the name of the CGI variable of an HTTP header.
func headerVariable(header string) string {
	return "HTTP_" + strings.ToUpper(strings.ReplaceAll(header, "-", "_"))
}
