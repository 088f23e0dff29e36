package store

import (
	"sync/atomic"
	"time"
)

// recordLocation is where a key's latest record is on disk.
type recordLocation struct {
	segment     int
	offset      int64
	size        int
	expiresAt   time.Time // of the value; the zero time for a deletion
	retainUntil time.Time // the record hides older ones that expire no later than this
}

// recordIndex maps each key to the location of its latest record. Its methods
// need Store.indexMu; liveBytes may be read without it, so that Put does not
// wait for a compaction.
type recordIndex struct {
	locations map[string]recordLocation
	liveBytes atomic.Int64 // size of the records that the index points at
}

func newRecordIndex() recordIndex {
	return recordIndex{locations: map[string]recordLocation{}}
}

func (x *recordIndex) lookup(key string) (recordLocation, bool) {
	location, ok := x.locations[key]
	return location, ok
}

func (x *recordIndex) len() int { return len(x.locations) }

// add makes a record the latest of its key. The record is retained for as long
// as the one that it replaces.
func (x *recordIndex) add(r record, location recordLocation) {
	location.retainUntil = r.expiresAt
	if !r.deleted {
		location.expiresAt = r.expiresAt
	}
	if old, ok := x.locations[r.key]; ok {
		if old.retainUntil.After(location.retainUntil) {
			location.retainUntil = old.retainUntil
		}
		x.liveBytes.Add(-int64(old.size))
	}
	x.locations[r.key] = location
	x.liveBytes.Add(int64(location.size))
}

// remove takes a key out of the index.
func (x *recordIndex) remove(key string) {
	if old, ok := x.locations[key]; ok {
		x.liveBytes.Add(-int64(old.size))
		delete(x.locations, key)
	}
}

// removeExpired takes the keys out of the index whose records need not be
// retained any longer.
func (x *recordIndex) removeExpired(now time.Time) {
	for key, location := range x.locations {
		if !location.retainUntil.After(now) {
			x.remove(key)
		}
	}
}

// relocate replaces the locations in the segments up to last: by those in moved,
// or by none for a key that moved does not hold.
func (x *recordIndex) relocate(last int, moved map[string]recordLocation) {
	for key, location := range x.locations {
		if location.segment > last {
			continue
		}
		if target, ok := moved[key]; ok {
			x.locations[key] = target
		} else {
			x.remove(key)
		}
	}
}
