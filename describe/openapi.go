package describe

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/tidwall/gjson"
)

// ParseOpenAPI reads an OpenAPI 3 document in JSON. Each operation with a class becomes a
// route.
func ParseOpenAPI(text []byte) (*Document, error) {
	loader := openapi3.NewLoader() // by default it does not load external references
	parsed, err := loader.LoadFromData(text)
	if err != nil {
		return nil, fmt.Errorf("OpenAPI document: %w", err)
	}
	if err := parsed.Validate(loader.Context); err != nil {
		return nil, fmt.Errorf("OpenAPI document: %w", err)
	}
	classes, err := decodeClasses(gjson.GetBytes(text, extClasses))
	if err != nil {
		return nil, err
	}
	d := &Document{Classes: classes, Routes: decodeOpenAPIRoutes(parsed)}
	if err := d.validate(); err != nil {
		return nil, err
	}
	return d, nil
}

// decodeOpenAPIRoutes reads the routes of an OpenAPI document and sorts them by path and
// method.
func decodeOpenAPIRoutes(parsed *openapi3.T) Routes {
	var routes Routes
	for path, item := range parsed.Paths.Map() {
		for method, operation := range item.Operations() {
			class, ok := operation.Extensions[extClass].(string)
			if !ok {
				continue
			}
			keyHeader, _ := operation.Extensions[extKey].(string)
			rule, _ := operation.Extensions[extRule].(string)
			routes = append(routes, Route{
				Method: method, Path: path, Class: class,
				KeyHeader: cmp.Or(keyHeader, DefaultKeyHeader), Rule: rule,
			})
		}
	}
	slices.SortFunc(routes, func(a, b Route) int {
		return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Method, b.Method))
	})
	return routes
}
