package store

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// value is a kept result of a gift's size.
var value = make([]byte, 200)

func benchPut(b *testing.B, sync SyncPolicy, parallel bool) {
	s, _, err := Open(Options{Dir: b.TempDir(), Sync: sync, MaxBytes: 1 << 30, SegmentBytes: 64 << 20})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	expires := time.Now().Add(time.Hour)
	put := func(i int) {
		done := make(chan error, 1)
		s.Put(fmt.Sprint("key/", i), value, expires, func(err error) { done <- err })
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	if !parallel {
		for i := 0; b.Loop(); i++ {
			put(i)
		}
		return
	}
	b.SetParallelism(16) // writers that wait for their own write, as a server's runs do
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			put(i)
		}
	})
}

// BenchmarkPut measures durable writes: one writer at a time, many at a time
// (grouped into one sync), and without syncing.
func BenchmarkPut(b *testing.B) {
	b.Run("fsync-one-writer", func(b *testing.B) { benchPut(b, SyncAlways, false) })
	b.Run("fsync-grouped", func(b *testing.B) { benchPut(b, SyncAlways, true) })
	b.Run("no-fsync", func(b *testing.B) { benchPut(b, SyncNever, true) })
}

// BenchmarkRecover measures an Open that reads 100,000 records.
func BenchmarkRecover(b *testing.B) {
	dir := b.TempDir()
	s, _, err := Open(Options{Dir: dir, Sync: SyncNever, MaxBytes: 1 << 30, SegmentBytes: 1 << 30})
	if err != nil {
		b.Fatal(err)
	}
	expires := time.Now().Add(time.Hour)
	done := make(chan error, 100_000)
	for i := range 100_000 {
		s.Put(fmt.Sprint("key/", i), value, expires, func(err error) { done <- err })
	}
	for range 100_000 {
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
	s.Close()
	for b.Loop() {
		s, rec, err := Open(Options{Dir: dir, Sync: SyncNever, MaxBytes: 1 << 30, SegmentBytes: 1 << 30})
		if err != nil || len(rec.Values) != 100_000 {
			b.Fatalf("%v, %d values", err, len(rec.Values))
		}
		s.Close()
	}
}

// BenchmarkIndex measures the memory that the index takes for a key, against
// a plain map that holds the values too, as an in-memory table does.
func BenchmarkIndex(b *testing.B) {
	const keys = 100_000
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		before := heap()
		s := &Store{index: map[string]recordLocation{}}
		for i := range keys {
			s.addToIndex(record{key: fmt.Sprint("key/", i), expiresAt: time.Now()}, recordLocation{size: 240})
		}
		indexed := heap() - before
		before = heap()
		plain := map[string][]byte{}
		for i := range keys {
			plain[fmt.Sprint("key/", i)] = append([]byte(nil), value...)
		}
		b.ReportMetric(float64(indexed)/keys, "index-B/key")
		b.ReportMetric(float64(heap()-before)/keys, "map-with-values-B/key")
		runtime.KeepAlive(s)
		runtime.KeepAlive(plain)
	}
}
