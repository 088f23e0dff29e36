// Package thrift is the codec of the balancers' protocol: Thrift's framed transport and
// strict binary protocol, with the messages of the service Front. [Reader] reads messages,
// and resumes after bytes that are not one (reader.go, resync.go); the Append functions
// write them (encoder.go). fields.go has the keys of the maps in messages. The package takes
// no decisions.
package thrift

import "errors"

// The limits of the protocol, in bytes.
const (
	MaxBody   = 2 << 10  // of a request
	MaxResult = 4 << 10  // of an answer
	maxFrame  = 12 << 10 // a body and its fields, with some room; must fit the reader's buffer

	// maxPlausibleFrame is the largest size that is taken for that of a frame, which is
	// skipped then. A larger one is taken for bytes that are not a frame.
	maxPlausibleFrame = 1 << 20
)

// maxNesting bounds the nesting of values that are skipped.
const maxNesting = 16

// MessageType is the type in a message's header.
type MessageType byte

// The message types.
const (
	Call      MessageType = 1
	Reply     MessageType = 2
	Exception MessageType = 3
	Oneway    MessageType = 4
)

// The types of values on the wire.
const (
	typeStop   = 0
	typeBool   = 2
	typeByte   = 3
	typeDouble = 4
	typeI16    = 6
	typeI32    = 8
	typeI64    = 10
	typeString = 11
	typeStruct = 12
	typeMap    = 13
	typeSet    = 14
	typeList   = 15
)

// The kinds of application exceptions that are sent.
const (
	UnknownMethod = 1
	ProtocolError = 7
)

// The methods of the service Front.
const (
	methodExecute   = "execute"
	methodInterrupt = "interrupt"
	methodCheck     = "check"
	methodLeaving   = "leaving"
)

// frameSizeLength is how many bytes the size of a frame takes, which precedes it.
const frameSizeLength = 4

// The first word of a message in the strict binary protocol, but for the type.
const (
	strictVersion = 0x80010000
	versionMask   = 0xffffff00
)

// ErrMalformed marks bytes that are not a message.
var ErrMalformed = errors.New("broken message")

// Head is what every message begins with.
type Head struct {
	Type MessageType
	Name string
	Seq  int32
}

// Message is a message that was read: a call's head and its arguments.
type Message struct {
	Head

	Fields      map[string]string // execute's first argument
	Body        []byte            // execute's second argument
	CanceledSeq int32             // interrupt's argument
	Probe       bool              // check's argument
	Err         error             // the message is well-formed, but its arguments are not the method's
}
