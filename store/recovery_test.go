package store

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// TestRecover_RestoresLatestValues reopens a store after one of its values has expired.
// The store must hold the latest values of the other keys.
func TestRecover_RestoresLatestValues(t *testing.T) {
	dir, clock := t.TempDir(), &fakeClock{epoch}
	s, _ := openUnsynced(t, dir, clock, 0)
	perform(t, s, sampleOperations)
	if v, ok, err := s.Get("gava-1"); err != nil || !ok || string(v.Bytes) != "done: 10 kr" {
		t.Errorf("Get(\"gava-1\") = %q, %t, %v, want \"done: 10 kr\", true, nil", v.Bytes, ok, err)
	}
	closeStore(t, s)

	clock.now = epoch.Add(2 * time.Second) // "kort" has expired
	s, recovered := openUnsynced(t, dir, clock, 0)
	defer closeStore(t, s)
	got, want := recoveredValues(recovered), expectedValues(sampleOperations, clock.now)
	if !maps.Equal(got, want) || len(recovered.Losses) > 0 {
		t.Errorf("recovered %v with losses %v\nwant %v without losses", got, recovered.Losses, want)
	}
	if s.Len() != 4 { // three values, and the deletion of gava-2, since the value that it hides has not expired
		t.Errorf("Len() = %d, want 4", s.Len())
	}
}

// TestRecover_SegmentTruncatedAtEveryByte truncates a segment at each offset. Recovery
// must restore the complete records and count the other bytes as an unfinished write.
func TestRecover_SegmentTruncatedAtEveryByte(t *testing.T) {
	data, recordEnds := segmentAfter(t, sampleOperations)
	for size := 0; size <= len(data); size++ {
		completeRecords, lastEnd := 0, 0
		for completeRecords < len(recordEnds) && recordEnds[completeRecords] <= size {
			lastEnd = recordEnds[completeRecords]
			completeRecords++
		}
		recovered := recoverFrom(t, data[:size])
		got, want := recoveredValues(recovered), expectedValues(sampleOperations[:completeRecords], epoch)
		unfinished := int64(size - lastEnd)
		if !maps.Equal(got, want) || len(recovered.Losses) > 0 || recovered.TruncatedBytes != unfinished {
			t.Fatalf("segment truncated to %d bytes: recovered %v, losses %v, TruncatedBytes %d\nwant %v, no losses, TruncatedBytes %d",
				size, got, recovered.Losses, recovered.TruncatedBytes, want, unfinished)
		}
	}
}

// TestRecover_CorruptionAtEveryByte inverts each byte of a segment in turn. Recovery must
// report a loss at the start of the damaged record and restore exactly the records
// before it. It must never return a value that was not written.
func TestRecover_CorruptionAtEveryByte(t *testing.T) {
	data, recordEnds := segmentAfter(t, sampleOperations)
	for flipped := range data {
		damagedRecord, start := 0, 0
		for recordEnds[damagedRecord] <= flipped {
			start = recordEnds[damagedRecord]
			damagedRecord++
		}
		damaged := slices.Clone(data)
		damaged[flipped] ^= 0xff
		recovered := recoverFrom(t, damaged)
		got, want := recoveredValues(recovered), expectedValues(sampleOperations[:damagedRecord], epoch)
		losses := recovered.Losses
		if !maps.Equal(got, want) || len(losses) != 1 || losses[0].Offset != int64(start) {
			t.Fatalf("byte %d inverted: recovered %v with losses %v\nwant %v with one loss at offset %d", flipped, got, losses, want, start)
		}
	}
}

// TestRecover_ReportsLossOnce opens a store with a damaged segment twice. The second Open
// must not report the loss again, and must recover the record written after the first.
func TestRecover_ReportsLossOnce(t *testing.T) {
	data, recordEnds := segmentAfter(t, sampleOperations)
	data[recordEnds[2]+5] ^= 1
	dir, clock := t.TempDir(), &fakeClock{epoch}
	writeFile(t, firstSegment(dir), data)

	s, recovered := openUnsynced(t, dir, clock, 0)
	if len(recovered.Losses) != 1 {
		t.Fatalf("first Open: losses %v, want one", recovered.Losses)
	}
	perform(t, s, []operation{{"efter", "written after the loss", time.Minute}})
	closeStore(t, s)

	s, recovered = openUnsynced(t, dir, clock, 0)
	defer closeStore(t, s)
	if len(recovered.Losses) != 0 || string(recovered.Values["efter"].Bytes) != "written after the loss" {
		t.Errorf("second Open: losses %v, values %v, want no losses and the later value", recovered.Losses, recoveredValues(recovered))
	}
}

// TestInspect_ChangesNothing inspects a damaged store twice. Both calls must report the
// same loss and values, and the segment must stay unchanged.
func TestInspect_ChangesNothing(t *testing.T) {
	data, recordEnds := segmentAfter(t, sampleOperations)
	data[recordEnds[3]+2] ^= 1
	dir := t.TempDir()
	writeFile(t, firstSegment(dir), data)
	want := expectedValues(sampleOperations[:4], epoch)
	for range 2 {
		recovered, err := Inspect(dir, epoch)
		if err != nil || len(recovered.Losses) != 1 || !maps.Equal(recoveredValues(recovered), want) {
			t.Fatalf("Inspect: error %v, losses %v, values %v, want one loss and %v", err, recovered.Losses, recoveredValues(recovered), want)
		}
	}
	if !slices.Equal(readFile(t, firstSegment(dir)), data) {
		t.Error("Inspect changed the segment")
	}
}
