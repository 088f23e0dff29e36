package store

import (
	"sync/atomic"
	"time"
)

// recordLocation is the location on disk of the latest record of a key.
type recordLocation struct {
	segment     int
	offset      int64
	size        int
	expiresAt   time.Time // expiry of the value; zero for a deletion
	retainUntil time.Time // by then the record and all older ones that it hides have expired
}

// recordIndex maps each key to the location of its latest record. Callers of its
// methods hold Store.indexMu. liveBytes may be read without the lock, so that Put
// does not wait for a compaction.
type recordIndex struct {
	locations map[string]recordLocation
	liveBytes atomic.Int64 // total size of the records that the index points at
}

func newRecordIndex() recordIndex {
	return recordIndex{locations: map[string]recordLocation{}}
}

func (x *recordIndex) lookup(key string) (recordLocation, bool) {
	location, ok := x.locations[key]
	return location, ok
}

func (x *recordIndex) len() int { return len(x.locations) }

// add makes a record the latest of its key. The new record is retained at least as long
// as the record that it replaces.
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

// remove deletes a key from the index.
func (x *recordIndex) remove(key string) {
	if old, ok := x.locations[key]; ok {
		x.liveBytes.Add(-int64(old.size))
		delete(x.locations, key)
	}
}

// removeExpired removes the keys whose latest record no longer has to be retained.
func (x *recordIndex) removeExpired(now time.Time) {
	for key, location := range x.locations {
		if !location.retainUntil.After(now) {
			x.remove(key)
		}
	}
}

// relocate updates the keys whose latest record is in a segment up to number last: it
// replaces their locations by those in moved, and removes the keys that are not in moved.
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
