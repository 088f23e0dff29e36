package describe

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
)

// randomRoutes makes routes of few segments from a small alphabet, so that
// fixed and parameter segments, methods and trailing slashes collide often.
func randomRoutes(rng *rand.Rand, n int) Routes {
	words := []string{"a", "b", "c", "{x}", "{y}", ""}
	methods := []string{"", "GET", "POST", "get"}
	var rs Routes
	for i := range n {
		segs := []string{""}
		for range 1 + rng.Intn(3) {
			segs = append(segs, words[rng.Intn(len(words))])
		}
		rs = append(rs, Route{
			Method: methods[rng.Intn(len(methods))], Path: strings.Join(segs, "/"),
			Class: fmt.Sprint("c", i),
		})
	}
	return rs
}

func randomPath(rng *rand.Rand) string {
	words := []string{"a", "b", "c", "d", ""}
	segs := []string{""}
	for range rng.Intn(5) {
		segs = append(segs, words[rng.Intn(len(words))])
	}
	return strings.Join(segs, "/")
}

// TestTableAsRoutes has the trie and the plain list find the same route for
// many random tables and paths (seeded, the same every time).
func TestTableAsRoutes(t *testing.T) {
	rng := rand.New(rand.NewSource(7))
	for range 300 {
		rs := randomRoutes(rng, 1+rng.Intn(12))
		table := rs.Compile()
		for range 50 {
			method, path := []string{"GET", "POST", "PUT"}[rng.Intn(3)], randomPath(rng)
			want, wantOK := rs.Match(method, path)
			got, gotOK := table.Match(method, path)
			if got != want || gotOK != wantOK {
				t.Fatalf("%s %q in %v:\n got %v %t\nwant %v %t", method, path, rs, got, gotOK, want, wantOK)
			}
		}
	}
}

// benchRoutes is a table of a partner's size: 40 routes, half with a parameter.
func benchRoutes() (Routes, []string) {
	var rs Routes
	var paths []string
	for i := range 20 {
		rs = append(rs, Route{Method: "GET", Path: fmt.Sprintf("/api/v1/kampanj%d/{id}", i), Class: "sida"},
			Route{Method: "POST", Path: fmt.Sprintf("/api/v1/gava%d", i), Class: "gava"})
		paths = append(paths, fmt.Sprintf("/api/v1/kampanj%d/123", i), fmt.Sprintf("/api/v1/gava%d", i))
	}
	return rs, paths
}

func BenchmarkMatch(b *testing.B) {
	rs, paths := benchRoutes()
	table := rs.Compile()
	b.Run("list", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			rs.Match("GET", paths[i%len(paths)])
		}
	})
	b.Run("trie", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			table.Match("GET", paths[i%len(paths)])
		}
	})
}
