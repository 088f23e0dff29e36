package idempotency

import (
	"encoding/json"
	"time"
	"unicode/utf8"
)

// Field is a named part of a payload. It is stored as part of Payload, in the form of
// storedField. Its name and value may hold any bytes.
type Field struct {
	Name  string
	Value string
}

// storedField is the JSON of a Field. Bytes that are not UTF-8 are replaced in Name and Value;
// RawName and RawValue then hold the bytes as they were.
type storedField struct {
	Name     string `json:"Name"`
	Value    string `json:"Value"`
	RawName  []byte `json:"RawName,omitempty"`
	RawValue []byte `json:"RawValue,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (f Field) MarshalJSON() ([]byte, error) {
	stored := storedField{Name: f.Name, Value: f.Value}
	if !utf8.ValidString(f.Name) {
		stored.RawName = []byte(f.Name)
	}
	if !utf8.ValidString(f.Value) {
		stored.RawValue = []byte(f.Value)
	}
	return json.Marshal(stored)
}

// UnmarshalJSON implements json.Unmarshaler.
func (f *Field) UnmarshalJSON(data []byte) error {
	var stored storedField
	if err := json.Unmarshal(data, &stored); err != nil {
		return err
	}
	*f = Field{Name: stored.Name, Value: stored.Value}
	if stored.RawName != nil {
		f.Name = string(stored.RawName)
	}
	if stored.RawValue != nil {
		f.Value = string(stored.RawValue)
	}
	return nil
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
