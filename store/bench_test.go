package store

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// benchmarkValue has the size of a gift's kept result.
var benchmarkValue = make([]byte, 200)

// openForBenchmark opens a store whose bounds a benchmark does not meet.
func openForBenchmark(b *testing.B, dir string, policy SyncPolicy, segmentBytes int64) (*Store, *Recovered) {
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
	b.Run("fsync-one-writer", func(b *testing.B) { benchmarkPut(b, SyncAlways, false) })
	b.Run("fsync-grouped", func(b *testing.B) { benchmarkPut(b, SyncAlways, true) })
	b.Run("no-fsync", func(b *testing.B) { benchmarkPut(b, SyncNever, true) })
}

// BenchmarkRecover measures an Open that reads 100,000 records.
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
			b.Fatalf("%d values", len(recovered.Values))
		}
		closeStore(b, s)
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
