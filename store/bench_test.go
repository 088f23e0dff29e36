package store

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// benchmarkValue has the size of a stored result of a gift request.
var benchmarkValue = make([]byte, 200)

// openForBenchmark opens a store with a MaxBytes that the benchmarks do not reach.
func openForBenchmark(b *testing.B, dir string, policy SyncPolicy, segmentBytes int64) (*Store, *RecoveredState) {
	b.Helper()
	return openStore(b, Options{Dir: dir, Sync: policy, MaxBytes: 1 << 30, SegmentBytes: segmentBytes})
}

func benchmarkPut(b *testing.B, policy SyncPolicy, parallel bool) {
	s, _ := openForBenchmark(b, b.TempDir(), policy, 64<<20)
	defer closeStore(b, s)
	expiresAt := time.Now().Add(time.Hour)
	put := func(i int) {
		if err := putAndWait(s, fmt.Sprint("key/", i), benchmarkValue, expiresAt); err != nil {
			b.Error(err)
		}
	}
	b.ReportAllocs()
	if !parallel {
		for i := 0; b.Loop(); i++ {
			put(i)
		}
		return
	}
	b.SetParallelism(16) // each writer waits for its own write, as a run in the server does
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			put(i)
		}
	})
}

// BenchmarkPut measures acknowledged writes: synced with one writer, synced with many
// concurrent writers whose records share a sync, and not synced.
func BenchmarkPut(b *testing.B) {
	b.Run("fsync-one-writer", func(b *testing.B) { benchmarkPut(b, SyncAlways, false) })
	b.Run("fsync-grouped", func(b *testing.B) { benchmarkPut(b, SyncAlways, true) })
	b.Run("no-fsync", func(b *testing.B) { benchmarkPut(b, SyncNever, true) })
}

// BenchmarkRecover measures Open on a segment with 100,000 records.
func BenchmarkRecover(b *testing.B) {
	const records = 100_000
	dir := b.TempDir()
	s, _ := openForBenchmark(b, dir, SyncNever, 1<<30)
	expiresAt := time.Now().Add(time.Hour)
	done := make(chan error, records)
	for i := range records {
		s.Put(fmt.Sprint("key/", i), benchmarkValue, expiresAt, func(err error) { done <- err })
	}
	for range records {
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
	closeStore(b, s)
	for b.Loop() {
		s, recovered := openForBenchmark(b, dir, SyncNever, 1<<30)
		if len(recovered.Values) != records {
			b.Fatalf("Open recovered %d values, want %d", len(recovered.Values), records)
		}
		closeStore(b, s)
	}
}

// BenchmarkIndex measures the index's memory per key, and for comparison the memory per
// key of a map that also holds the values.
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
		index := newRecordIndex()
		for i := range keys {
			index.add(record{key: fmt.Sprint("key/", i), expiresAt: time.Now()}, recordLocation{size: 240})
		}
		indexed := heap() - before
		before = heap()
		plain := map[string][]byte{}
		for i := range keys {
			plain[fmt.Sprint("key/", i)] = append([]byte(nil), benchmarkValue...)
		}
		b.ReportMetric(float64(indexed)/keys, "index-B/key")
		b.ReportMetric(float64(heap()-before)/keys, "map-with-values-B/key")
		runtime.KeepAlive(&index)
		runtime.KeepAlive(plain)
	}
}
