package store

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// TestRecover reopens a store: it has the values written last, without the one
// that expired meanwhile.
func TestRecover(t *testing.T) {
	dir, clock := t.TempDir(), &fakeClock{epoch}
	s, _ := openUnsynced(t, dir, clock, 0)
	perform(t, s, sampleOperations)
	if v, ok, err := s.Get("gava-1"); err != nil || !ok || string(v.Bytes) != "done: 10 kr" {
		t.Errorf("get: %q %t %v", v.Bytes, ok, err)
	}
	closeStore(t, s)

	clock.now = epoch.Add(2 * time.Second) // "kort" has expired
	s, recovered := openUnsynced(t, dir, clock, 0)
	defer closeStore(t, s)
	got, want := recoveredValues(recovered), expectedValues(sampleOperations, clock.now)
	if !maps.Equal(got, want) || len(recovered.Losses) > 0 {
		t.Errorf("got %v, losses %v\nwant %v", got, recovered.Losses, want)
	}
	if s.Len() != 4 { // and the deletion of gava-2, while the value that it hides could come back
		t.Errorf("the index holds %d keys, want 4", s.Len())
	}
}

// TestRecoverTruncatedAtEveryByte truncates a segment at every offset: each time
// recovery gives the state of the complete records, and counts the rest as a
// write that never finished.
func TestRecoverTruncatedAtEveryByte(t *testing.T) {
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
			t.Fatalf("truncated to %d bytes: got %v, losses %v, truncated %d\nwant %v, truncated %d",
				size, got, recovered.Losses, recovered.TruncatedBytes, want, unfinished)
		}
	}
}

// TestRecoverFlippedAtEveryByte flips each byte of a segment in turn: each time
// the loss is reported where the damaged record begins, and recovery gives
// exactly the state of the records before it, never a value that was not written.
func TestRecoverFlippedAtEveryByte(t *testing.T) {
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
			t.Fatalf("byte %d flipped: got %v, losses %v\nwant %v, a loss at %d", flipped, got, losses, want, start)
		}
	}
}

// TestRecoverReportsLossOnce recovers a damaged segment twice: the second time
// the loss is not reported again, and what was written after the first is read.
func TestRecoverReportsLossOnce(t *testing.T) {
	data, recordEnds := segmentAfter(t, sampleOperations)
	data[recordEnds[2]+5] ^= 1
	dir, clock := t.TempDir(), &fakeClock{epoch}
	writeFile(t, firstSegment(dir), data)

	s, recovered := openUnsynced(t, dir, clock, 0)
	if len(recovered.Losses) != 1 {
		t.Fatalf("losses %v", recovered.Losses)
	}
	perform(t, s, []operation{{"efter", "written after the loss", time.Minute}})
	closeStore(t, s)

	s, recovered = openUnsynced(t, dir, clock, 0)
	defer closeStore(t, s)
	if len(recovered.Losses) != 0 || string(recovered.Values["efter"].Bytes) != "written after the loss" {
		t.Errorf("the second time: %v, %v", recovered.Losses, recoveredValues(recovered))
	}
}

// TestInspect reads a damaged store twice: the same is reported each time, and
// the segment stays as it was.
func TestInspect(t *testing.T) {
	data, recordEnds := segmentAfter(t, sampleOperations)
	data[recordEnds[3]+2] ^= 1
	dir := t.TempDir()
	writeFile(t, firstSegment(dir), data)
	want := expectedValues(sampleOperations[:4], epoch)
	for range 2 {
		recovered, err := Inspect(dir, epoch)
		if err != nil || len(recovered.Losses) != 1 || !maps.Equal(recoveredValues(recovered), want) {
			t.Fatalf("%v, %v, %v", err, recovered.Losses, recoveredValues(recovered))
		}
	}
	if !slices.Equal(readFile(t, firstSegment(dir)), data) {
		t.Error("Inspect changed the file")
	}
}
