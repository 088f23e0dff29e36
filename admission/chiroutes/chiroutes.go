// Package chiroutes holds the admission library's adapter for chi routers
// (github.com/go-chi/chi/v5): a check, at start, that a router serves every
// route that the configuration leads to a class. A description that names a
// path the router does not serve, or under another method, is a copy that has
// drifted; its requests would pass untouched, or be admitted and then not found.
package chiroutes

import (
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strings"

	"github.com/go-chi/chi/v5"

	"quincerail.example/quincerail/describe"
)

// parameter is a path segment that stands for any one: {name} or {name:regexp}
// in chi, {name} in OpenAPI.
var parameter = regexp.MustCompile(`\{[^}]*\}`)

// shape returns a pattern with its parameters' names left out, so that /a/{id} and
// /a/{key} are one path.
func shape(pattern string) string {
	return parameter.ReplaceAllString(strings.TrimSuffix(pattern, "/"), "{}")
}

// ErrUnserved is wrapped by Verify's error.
var ErrUnserved = errors.New("routes with a class that the router does not serve")

// Verify checks that r serves each of routes, by method and path; a route without
// a method needs the path under some method. The error wraps ErrUnserved and
// names every route that is missing, in the order of routes, or is that of a router
// that can't be walked.
func Verify(routes describe.Routes, r chi.Routes) error {
	served := map[string]map[string]bool{} // path shape, method
	err := chi.Walk(r, func(method, pattern string, _ http.Handler, _ ...func(http.Handler) http.Handler) error {
		s := shape(pattern)
		if served[s] == nil {
			served[s] = map[string]bool{}
		}
		served[s][strings.ToUpper(method)] = true
		return nil
	})
	if err != nil {
		return fmt.Errorf("chiroutes: %w", err)
	}
	var missing []string
	for _, route := range routes {
		methods := served[shape(route.Path)]
		if route.Method == "" && len(methods) == 0 || route.Method != "" && !methods[strings.ToUpper(route.Method)] {
			missing = append(missing, strings.TrimSpace(route.Method+" "+route.Path)+" ("+route.Class+")")
		}
	}
	if len(missing) > 0 {
		return fmt.Errorf("chiroutes: %w: %s", ErrUnserved, strings.Join(missing, ", "))
	}
	return nil
}
