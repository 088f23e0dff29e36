package idempotency

import "time"

// Field is a named part of a payload. It is stored as part of Payload: the tags are part of
// that format.
type Field struct {
	Name  string `json:"Name"`
	Value string `json:"Value"`
}

// Payload is the content of a request or its result. Results are stored with KeyState: the
// tags are part of that format.
type Payload struct {
	Fields []Field `json:"Fields"`
	Body   []byte  `json:"Body"`
}

// sizeBytes returns the size of the payload that the table counts.
func (p *Payload) sizeBytes() int {
	size := len(p.Body)
	for _, field := range p.Fields {
		size += len(field.Name) + len(field.Value)
	}
	return size
}

// KeyState is the state of a key that a process sends to another one or to the journal. Its
// times are Unix times, because the timelines of processes differ. Its JSON is stored: the
// tags are part of that format.
type KeyState struct {
	Key          string    `json:"Key"`
	Class        string    `json:"Class"`  // of the first attempt
	BodyHash     uint64    `json:"Body"`   // of the body that all attempts carry
	RanAttemptID string    `json:"Ran"`    // id of the attempt that has claimed the key; "" if none has
	ArrivedAt    time.Time `json:"Door"`   // of the attempt that requests a claim; else zero
	ExpiresAt    time.Time `json:"Till"`   // end of the key's window
	Completed    bool      `json:"Over"`   // the run has ended
	Result       *Payload  `json:"Result"` // of the run, if it succeeded
}

// Journal makes key states durable. Record must not block. done is called once, from any
// goroutine: with nil when the state is durable, or with the error that prevented it.
type Journal interface {
	Record(state KeyState, done func(error))
}
