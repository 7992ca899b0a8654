// Package nodebinary encodes and decodes the messages between a scheduler and the nodes of the platform: binary, with a
// length prefix, and made of parameters. It does no I/O. Its functions are safe for concurrent use.
package nodebinary

import "strconv"

// MaxMessageBytes is the longest message in bytes that either side may send, its length included.
const MaxMessageBytes = 16 << 10

// NoCause is the Cause of a message without one.
const NoCause = -1

// The sizes of a message's parts in bytes: its length (of all that follows), its type and its task. Then follow the
// parameters, each with a header of its code and the length of its value. All numbers are big-endian.
const (
	lengthSize          = 2
	typeSize            = 1
	taskSize            = 8
	headerSize          = lengthSize + typeSize + taskSize
	parameterHeaderSize = 1 + 2
)

// Type is the type of a message, by its number on the wire.
type Type byte

// The types of messages.
const (
	SetUp    Type = 1
	Progress Type = 6
	Answer   Type = 9
	Release  Type = 12
	Released Type = 16
	Note     Type = 44
	Move     Type = 51
	Ping     Type = 52
	Pong     Type = 53
)

var typeNames = [...]string{
	SetUp: "setup", Progress: "progress", Answer: "answer", Release: "release", Released: "released",
	Note: "note", Move: "move", Ping: "ping", Pong: "pong",
}

// known reports whether t is one of the types above.
func (t Type) known() bool { return int(t) < len(typeNames) && typeNames[t] != "" }

// String returns the name of the type, or its number if it is not one of the types above.
func (t Type) String() string {
	if t.known() {
		return typeNames[t]
	}
	return "type " + strconv.Itoa(int(t))
}

// The codes of parameters on the wire.
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

// Message is a message. A parameter that the message does not have is empty.
type Message struct {
	Type           Type
	Task           uint64
	Cause          int    // 0 to 255, or NoCause
	Token          string // names the reason of a release, or the quantity of a note
	Value          string // of the quantity that Token names, as a decimal number
	Class          string
	TimeLeft       string // until the deadline of the task, in milliseconds
	Key            string
	IdempotencyKey string
	Description    string
	HasDescription bool // the message has a description, which may be empty
}
