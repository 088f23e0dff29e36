// Package chiroutes is the admission library's adapter for chi routers
// (github.com/go-chi/chi/v5). It checks at startup that a router serves every route to which
// the configuration assigns a class. If the API description and the router differ in a path or
// a method, requests would bypass admission, or would be admitted and then get a 404 or 405.
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

// pathParameter matches a path parameter: {name} or {name:regexp} in chi, {name} in OpenAPI.
var pathParameter = regexp.MustCompile(`\{[^}]*\}`)

// normalizePath removes a trailing slash and the names of the parameters from a pattern, so
// that /a/{id} and /a/{key} are equal.
func normalizePath(pattern string) string {
	return pathParameter.ReplaceAllString(strings.TrimSuffix(pattern, "/"), "{}")
}

// ErrUnserved means that the router does not serve all routes with a class. Verify wraps it.
var ErrUnserved = errors.New("routes with a class that the router does not serve")

// Verify checks that r serves the method and path of each of the routes. For a route without
// a method, r must serve the path with at least one method. If routes are missing, the error
// wraps ErrUnserved and names them in the order of routes. An error of chi.Walk is returned
// wrapped.
func Verify(routes describe.Routes, r chi.Routes) error {
	served := map[string]map[string]bool{} // by normalized path, then by method
	err := chi.Walk(r, func(method, pattern string, _ http.Handler, _ ...func(http.Handler) http.Handler) error {
		s := normalizePath(pattern)
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
		methods := served[normalizePath(route.Path)]
		if route.Method == "" && len(methods) == 0 || route.Method != "" && !methods[strings.ToUpper(route.Method)] {
			missing = append(missing, strings.TrimSpace(route.Method+" "+route.Path)+" ("+route.Class+")")
		}
	}
	if len(missing) > 0 {
		return fmt.Errorf("chiroutes: %w: %s", ErrUnserved, strings.Join(missing, ", "))
	}
	return nil
}
