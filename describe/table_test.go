package describe

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
)

// randomRoutes returns n routes with few segments from a small alphabet, so that many
// routes overlap in fixed segments, parameters, methods and trailing slashes.
func randomRoutes(random *rand.Rand, n int) Routes {
	words := []string{"a", "b", "c", "{x}", "{y}", ""}
	methods := []string{"", "GET", "POST", "get"}
	var rs Routes
	for i := range n {
		segments := []string{""}
		for range 1 + random.Intn(3) {
			segments = append(segments, words[random.Intn(len(words))])
		}
		rs = append(rs, Route{
			Method: methods[random.Intn(len(methods))], Path: strings.Join(segments, "/"),
			Class: fmt.Sprint("c", i),
		})
	}
	return rs
}

func randomPath(random *rand.Rand) string {
	words := []string{"a", "b", "c", "d", ""}
	segments := []string{""}
	for range random.Intn(5) {
		segments = append(segments, words[random.Intn(len(words))])
	}
	return strings.Join(segments, "/")
}

// TestTable_SameResultAsRoutes looks up random paths in random routes. The table and the list
// must give the same route. The seed is fixed.
func TestTable_SameResultAsRoutes(t *testing.T) {
	random := rand.New(rand.NewSource(7))
	for range 300 {
		rs := randomRoutes(random, 1+random.Intn(12))
		table := rs.Compile()
		for range 50 {
			method, path := []string{"GET", "POST", "PUT"}[random.Intn(3)], randomPath(random)
			want, wantOK := rs.Match(method, path)
			got, gotOK := table.Match(method, path)
			if got != want || gotOK != wantOK {
				t.Fatalf("Table.Match(%s, %q) with routes %v\n= %v, %t\nwant %v, %t", method, path, rs, got, gotOK, want, wantOK)
			}
		}
	}
}

// benchRoutes returns 40 routes, about as many as a partner has, half of them with a
// parameter, and a path for each route.
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

// BenchmarkMatch measures lookups in the list of routes and in the table.
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
