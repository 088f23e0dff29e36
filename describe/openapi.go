package describe

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/tidwall/gjson"
)

// OpenAPI reads an OpenAPI 3 document. Operations without a class are no routes.
func OpenAPI(text []byte) (*Document, error) {
	loader := openapi3.NewLoader() // external references stay off
	doc, err := loader.LoadFromData(text)
	if err != nil {
		return nil, fmt.Errorf("OpenAPI document: %w", err)
	}
	if err := doc.Validate(loader.Context); err != nil {
		return nil, fmt.Errorf("OpenAPI document: %w", err)
	}
	d := &Document{}
	if d.Classes, err = classes(gjson.GetBytes(text, extClasses)); err != nil {
		return nil, err
	}
	for path, item := range doc.Paths.Map() {
		for method, op := range item.Operations() {
			class, ok := op.Extensions[extClass].(string)
			if !ok {
				continue
			}
			key, _ := op.Extensions[extKey].(string)
			rule, _ := op.Extensions[extRule].(string)
			d.Routes = append(d.Routes, Route{method, path, class, cmp.Or(key, DefaultKeyHeader), rule})
		}
	}
	slices.SortFunc(d.Routes, func(a, b Route) int {
		return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Method, b.Method))
	})
	return d.check()
}
