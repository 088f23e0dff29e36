package describe

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/tidwall/gjson"
)

// Names of the extensions that the package reads from a document. The package comment
// describes each of them.
const (
	extClasses = "x-quincerail-classes"
	extClass   = "x-quincerail-class"
	extKey     = "x-quincerail-key"
	extRule    = "x-quincerail-rule"
)

// Document contains the request classes and the routes of a service.
type Document struct {
	Classes []Class
	Routes  Routes
}

// Parse reads an OpenAPI or AsyncAPI document in JSON.
func Parse(text []byte) (*Document, error) {
	if !gjson.ValidBytes(text) {
		return nil, errors.New("API description is not a JSON document")
	}
	switch {
	case gjson.GetBytes(text, "asyncapi").Exists():
		return ParseAsyncAPI(text)
	case gjson.GetBytes(text, "openapi").Exists():
		return ParseOpenAPI(text)
	}
	return nil, errors.New("API description is neither an OpenAPI nor an AsyncAPI document")
}

// validate returns an error if the path of a route does not begin with /, or if the document
// has classes and the class of a route is not among them.
func (d *Document) validate() error {
	for _, route := range d.Routes {
		known := slices.ContainsFunc(d.Classes, func(c Class) bool { return c.Name == route.Class })
		if len(d.Classes) > 0 && !known {
			return fmt.Errorf("%s %s: class %q is not in %s", route.Method, route.Path, route.Class, extClasses)
		}
		if !strings.HasPrefix(route.Path, "/") {
			return fmt.Errorf("path %q must begin with /", route.Path)
		}
	}
	return nil
}
