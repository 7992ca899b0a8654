// Package ownerjson encodes and decodes the messages between task owners and a scheduler on the platform: one JSON
// object on each line. It does no I/O. Its functions are safe for concurrent use.
package ownerjson

// MaxLineBytes is the longest line in bytes that either side may send, its line feed included.
const MaxLineBytes = 16 << 10

// NoCause is the Cause of a message without one.
const NoCause = -1

// maxCause is the greatest cause that a message may carry.
const maxCause = 255

// idLength is the number of hex digits in the ID of a task.
const idLength = 16

// Type is the type of a message, by its name on the wire.
type Type string

// The types of messages.
const (
	SetUp    Type = "setup"
	Progress Type = "progress"
	Answer   Type = "answer"
	Release  Type = "release"
	Released Type = "released"
	Ping     Type = "ping"
	Pong     Type = "pong"
	Note     Type = "note"
	Move     Type = "move"
)

// known reports whether t is one of the types above.
func (t Type) known() bool {
	switch t {
	case SetUp, Progress, Answer, Release, Released, Ping, Pong, Note, Move:
		return true
	}
	return false
}

// Message is a message, which is one line on the wire.
type Message struct {
	Type           Type
	ID             string            // of the task: see ValidID
	Fields         map[string]string // by their names on the wire; numbers as their JSON text
	Cause          int               // 0 to 255, or NoCause
	Description    string
	HasDescription bool // the line has a description, which may be empty
}

// ValidID reports whether id is the ID of a task: 16 lower-case hex digits.
func ValidID(id string) bool {
	if len(id) != idLength {
		return false
	}
	for i := range len(id) {
		if c := id[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}
