// Package thrift is the codec of the balancers' protocol: the messages of the service Front in
// Thrift's framed transport and strict binary protocol.
//
// [Reader] decodes messages (reader.go, decoder.go) and resynchronizes after bytes that are not
// a message (resync.go). The Append functions encode messages (encoder.go). fields.go has the
// keys of the maps in messages. The package doesn't decide when a connection with malformed
// messages is closed.
package thrift

import "errors"

// The limits of the protocol, in bytes.
const (
	MaxRequestBody  = 2 << 10  // of execute's argument
	MaxResponseBody = 4 << 10  // of Answer.Body
	maxFrame        = 12 << 10 // room for a body and its fields; must fit in the reader's buffer

	// maxPlausibleFrame is the size above which bytes are not taken for a frame, so that the
	// reader resynchronizes. A frame that is larger than maxFrame, but not larger than this,
	// is skipped whole.
	maxPlausibleFrame = 1 << 20
)

// maxNesting is the maximum nesting depth of values that are skipped.
const maxNesting = 16

// MessageType is the type of a message, from its header.
type MessageType byte

// The message types.
const (
	Call      MessageType = 1
	Reply     MessageType = 2
	Exception MessageType = 3
	Oneway    MessageType = 4
)

// The type ids of values.
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

// The types of the application exceptions that the server sends.
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

// frameSizeLength is the length of the size that precedes each frame, in bytes.
const frameSizeLength = 4

// The first 32-bit word of a message in the strict binary protocol, without the message type in
// its low byte.
const (
	strictVersion = 0x80010000
	versionMask   = 0xffffff00
)

// ErrMalformed reports bytes that are not a valid message.
var ErrMalformed = errors.New("broken message")

// Header is the part of a message that precedes its arguments.
type Header struct {
	Type MessageType
	Name string // the method
	Seq  int32  // the sequence number
}

// Message is a decoded message: the header and the arguments of a call.
type Message struct {
	Header

	Fields      map[string]string // execute's first argument
	Body        []byte            // execute's second argument
	CanceledSeq int32             // interrupt's argument: the sequence number of the call to cancel
	Probe       bool              // check's argument
	Err         error             // not nil if the message is well-formed but its arguments are invalid
}
