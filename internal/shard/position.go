package shard

import (
	"strconv"
	"strings"
)

// positionSeparator separates the revisions of a position.
const positionSeparator = "-"

// Position is a position in the stream of the changes of all cores: the latest published revision of each core.
type Position []uint64

// ParsePosition parses a position as formatted by String. It returns the start of the stream if s is invalid or has another
// number of cores.
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

func (p Position) String() string {
	words := make([]string, len(p))
	for core, revision := range p {
		words[core] = strconv.FormatUint(revision, 10)
	}
	return strings.Join(words, positionSeparator)
}
