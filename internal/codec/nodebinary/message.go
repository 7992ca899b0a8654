// Package nodebinary encodes and decodes the messages between a scheduler and the nodes of the platform. A message is binary. It
// has a length prefix, a type, a task and a sequence of parameters. The package does no I/O. Its functions are safe for
// concurrent use.
package nodebinary

import "strconv"

// MaxMessageBytes is the greatest length of a message that either side may send, including its length prefix.
const MaxMessageBytes = 16 << 10

// NoCause is the Cause of a message without a cause.
const NoCause = -1

// The sizes in bytes of the parts of a message. Its header consists of the length of all that follows the length, of its type
// and of its task. The parameters follow, each with a header of its code and the length of its value. Numbers are big-endian.
const (
	lengthSize          = 2
	typeSize            = 1
	taskSize            = 8
	headerSize          = lengthSize + typeSize + taskSize
	parameterHeaderSize = 1 + 2 // code and length
)

// Type is the type of a message, as its number on the wire.
type Type byte

// The types of messages.
const (
	SetUp    Type = 1 // offers a task to a node
	Progress Type = 6
	Answer   Type = 9  // accepts an offer
	Release  Type = 12 // cancels, rejects or ends a task
	Released Type = 16 // confirms a Release
	Note     Type = 44 // reports usage
	Move     Type = 51
	Ping     Type = 52
	Pong     Type = 53
)

var typeNames = [...]string{
	SetUp: "setup", Progress: "progress", Answer: "answer", Release: "release", Released: "released",
	Note: "note", Move: "move", Ping: "ping", Pong: "pong",
}

// isKnown reports whether t is one of the types that are declared above.
func (t Type) isKnown() bool { return int(t) < len(typeNames) && typeNames[t] != "" }

// String returns the name of the type, or "type" and its number if it is unknown.
func (t Type) String() string {
	if t.isKnown() {
		return typeNames[t]
	}
	return "type " + strconv.Itoa(int(t))
}

// The codes of the parameters on the wire.
const (
	codeClass          = 180
	codeTimeLeft       = 181
	codeKey            = 184
	codeToken          = 187
	codeValue          = 192
	codeIdempotencyKey = 193
	codeCause          = 194
	codeDescription    = 195
)

// Message is a decoded message. The field of a parameter that the message does not have is empty, and Cause is NoCause.
type Message struct {
	Type           Type
	Task           uint64 // ID of the task
	Cause          int    // why a task was released: 0 to 255, or NoCause
	Token          string // the reason of a Release, or the quantity that a Note reports
	Value          string // value of the quantity that a Note reports, as a decimal number
	Class          string
	TimeLeft       string // time until the deadline of the task, in milliseconds
	Key            string
	IdempotencyKey string
	Description    string
	HasDescription bool // whether the message has a description, which may be empty
}
