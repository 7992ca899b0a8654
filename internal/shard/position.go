package shard

import (
	"strconv"
	"strings"
)

// positionSeparator stands between the revisions of a position.
const positionSeparator = "-"

// Position is a place in the stream of all cores' changes: of each core, the latest revision that was published.
type Position []uint64

// ParsePosition reads a position as String writes it. One that is not valid, or is of another number of cores, is
// taken for the beginning of the stream.
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
