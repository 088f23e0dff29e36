package chiroutes

import (
	"errors"
	"net/http"
	"testing"

	"github.com/go-chi/chi/v5"

	"quincerail.example/quincerail/describe"
)

func TestVerify_NamesUnservedRoutes(t *testing.T) {
	ok := func(http.ResponseWriter, *http.Request) {}
	r := chi.NewRouter()
	r.Get("/kampanjer/{id}", ok)
	r.Route("/givare", func(r chi.Router) { r.Get("/{givare:[0-9]+}/historik", ok) })
	r.Post("/gavor/", ok)
	served := describe.Routes{
		{Method: "GET", Path: "/kampanjer/{kampanj}", Class: "sida"},
		{Method: "get", Path: "/givare/{givare}/historik", Class: "historik"},
		{Path: "/gavor", Class: "gava"},
	}
	if err := Verify(served, r); err != nil {
		t.Errorf("Verify of served routes = %v, want no error", err)
	}
	drifted := append(served, describe.Route{Method: "POST", Path: "/kampanjer/{kampanj}", Class: "sida"},
		describe.Route{Path: "/om", Class: "sida"})
	err := Verify(drifted, r)
	want := "chiroutes: routes with a class that the router does not serve: POST /kampanjer/{kampanj} (sida), /om (sida)"
	if !errors.Is(err, ErrUnserved) || err.Error() != want {
		t.Errorf("Verify = %v\nwant     %s", err, want)
	}
}
