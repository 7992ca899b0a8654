// Package ownerjson encodes and decodes the messages between the task owners and a scheduler of the platform. Each message is a
// JSON object on a line of its own. The package does no I/O. Its functions are safe for concurrent use.
package ownerjson

// MaxLineBytes is the greatest length of a line that either side may send, including its line feed.
const MaxLineBytes = 16 << 10

// NoCause is the Cause of a message without a cause.
const NoCause = -1

// maxCause is the greatest cause that a message may carry.
const maxCause = 255

// idLength is the number of hex digits in the ID of a task.
const idLength = 16

// Type is the type of a message, as its name on the wire.
type Type string

// The types of messages.
const (
	SetUp    Type = "setup" // submits a task, or asks for the adoption of a running one
	Progress Type = "progress"
	Answer   Type = "answer"  // a node has accepted the task
	Release  Type = "release" // cancels a task, or reports that it was rejected or has ended
	Released Type = "released"
	Ping     Type = "ping"
	Pong     Type = "pong" // its Cause is 1 if the check has passed, else 0
	Note     Type = "note"
	Move     Type = "move" // the task is to migrate, or has migrated
)

// isKnown reports whether t is one of the types that are declared above.
func (t Type) isKnown() bool {
	switch t {
	case SetUp, Progress, Answer, Release, Released, Ping, Pong, Note, Move:
		return true
	}
	return false
}

// Message is a decoded message.
type Message struct {
	Type           Type
	ID             string            // ID of the task; see ValidID
	Fields         map[string]string // values by their names on the wire, of known names only; that of a number is its JSON text
	Cause          int               // why a task was released, or the result of a ping: 0 to 255, or NoCause
	Description    string
	HasDescription bool // whether the message has a description, which may be empty
}

// ValidID reports whether id has the form of a task's ID, which is 16 lower-case hex digits.
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
