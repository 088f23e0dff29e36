package describe

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/tidwall/gjson"
)

// The names of the extensions.
const (
	extClasses = "x-quincerail-classes"
	extClass   = "x-quincerail-class"
	extKey     = "x-quincerail-key"
	extRule    = "x-quincerail-rule"
)

// Document is what a service offers.
type Document struct {
	Classes []Class
	Routes  Routes
}

// Load reads a document, of whichever of the two kinds it is.
func Load(text []byte) (*Document, error) {
	if !gjson.ValidBytes(text) {
		return nil, errors.New("not a JSON document")
	}
	switch {
	case gjson.GetBytes(text, "asyncapi").Exists():
		return AsyncAPI(text)
	case gjson.GetBytes(text, "openapi").Exists():
		return OpenAPI(text)
	}
	return nil, errors.New("neither an OpenAPI nor an AsyncAPI document")
}

// validate returns an error if a route has no valid path, or leads to an unknown class in a
// document that has classes.
func (d *Document) validate() error {
	for _, route := range d.Routes {
		known := slices.ContainsFunc(d.Classes, func(c Class) bool { return c.Name == route.Class })
		if len(d.Classes) > 0 && !known {
			return fmt.Errorf("%s %s: class %q is not described", route.Method, route.Path, route.Class)
		}
		if !strings.HasPrefix(route.Path, "/") {
			return fmt.Errorf("path %q: it must begin with /", route.Path)
		}
	}
	return nil
}
