package shard

import (
	"strconv"
	"strings"
)

// positionSeparator separates the revisions in the text of a Position.
const positionSeparator = "-"

// Position is a position in the event stream that merges the changes of all cores: the last published revision of each core.
type Position []uint64

// ParsePosition parses a position in the format of Position.String. It returns the start of the stream if s is invalid or
// has another number of cores.
func ParsePosition(s string, cores int) Position {
	position := make(Position, cores)
	words := strings.Split(s, positionSeparator)
	if len(words) != cores {
		return position
	}
	for core, word := range words {
		revision, err := strconv.ParseUint(word, 10, 64)
		if err != nil {
			return make(Position, cores)
		}
		position[core] = revision
	}
	return position
}

// String returns the revisions of all cores in the format that ParsePosition expects.
func (p Position) String() string {
	words := make([]string, len(p))
	for core, revision := range p {
		words[core] = strconv.FormatUint(revision, 10)
	}
	return strings.Join(words, positionSeparator)
}
