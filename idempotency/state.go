package idempotency

import "time"

// Field is a named part of a payload. It is stored as a part of Payload.
type Field struct {
	Name  string `json:"Name"`
	Value string `json:"Value"`
}

// Payload is what a request carries, or its result. Results are stored with KeyState:
// the tags are part of that format.
type Payload struct {
	Fields []Field `json:"Fields"`
	Body   []byte  `json:"Body"`
}

// sizeBytes is the memory that the payload takes in the table.
func (p *Payload) sizeBytes() int {
	size := len(p.Body)
	for _, field := range p.Fields {
		size += len(field.Name) + len(field.Value)
	}
	return size
}

// KeyState is what one process reports of a key to another one or to a journal, with times
// as Unix times, since their timelines differ. Its JSON is stored: the tags are part of that
// format.
type KeyState struct {
	Key          string    `json:"Key"`
	Class        string    `json:"Class"`  // of the first attempt
	BodyHash     uint64    `json:"Body"`   // of the body that all attempts carry
	RanAttemptID string    `json:"Ran"`    // id of the attempt that claimed the key; "" if none did
	ArrivedAt    time.Time `json:"Door"`   // of the attempt that asks for a claim; else zero
	ExpiresAt    time.Time `json:"Till"`   // end of the key's window
	Completed    bool      `json:"Over"`   // the run has ended
	Result       *Payload  `json:"Result"` // of the run, if it succeeded
}

// Journal keeps states of keys durably. Its method must not block; done is called
// once, from any goroutine, when the state is durable, or with the reason why it can't
// be.
type Journal interface {
	Record(state KeyState, done func(error))
}
