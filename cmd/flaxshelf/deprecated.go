package main

import (
	"fmt"
	"maps"
	"slices"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"
)

// replacementTagKey is the key of the struct tag that marks a flag as deprecated. The value of the tag is the name of the flag
// that replaces it. Both flags have the same type.
const replacementTagKey = "replacement"

// deprecatedFlagsRemovalVersion is the version that removes the deprecated flags.
const deprecatedFlagsRemovalVersion = "0.2.0"

// applyDeprecatedFlags copies the value of each deprecated flag on the command line to its replacement, and logs a warning
// that names both flags. It returns a usageError if the command line has a deprecated flag and its replacement.
func applyDeprecatedFlags(command *kong.Context, log zerolog.Logger) error {
	given := givenFlags(command)
	for _, name := range slices.Sorted(maps.Keys(given)) {
		deprecated := given[name]
		replacementName := deprecated.Tag.Get(replacementTagKey)
		if replacementName == "" {
			continue
		}
		if given[replacementName] != nil {
			return usageError{fmt.Errorf("--%s is the deprecated name of --%s: expected only one of them", name, replacementName)}
		}
		replacement := findFlag(command, replacementName)
		if replacement == nil {
			return fmt.Errorf("deprecated flag --%s: the command has no flag --%s to replace it", name, replacementName)
		}
		replacement.Target.Set(deprecated.Target)
		log.Warn().Str("flag", "--"+name).Str("replacement", "--"+replacementName).
			Str("removed_in", deprecatedFlagsRemovalVersion).Msg("deprecated flag")
	}
	return nil
}

// givenFlags returns the flags that are set on the command line, by name.
func givenFlags(command *kong.Context) map[string]*kong.Flag {
	given := map[string]*kong.Flag{}
	for _, element := range command.Path {
		if element.Flag != nil {
			given[element.Flag.Name] = element.Flag
		}
	}
	return given
}

// findFlag returns the flag of the command that has the name, or nil if there is none.
func findFlag(command *kong.Context, name string) *kong.Flag {
	for _, flag := range command.Flags() {
		if flag.Name == name {
			return flag
		}
	}
	return nil
}
