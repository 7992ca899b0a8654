package main

import (
	"fmt"
	"maps"
	"slices"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"
)

// replacementTagKey is the key of the struct tag of a deprecated flag; its value is the name of the flag that replaces it.
// Both flags have the same type.
const replacementTagKey = "replacement"

// deprecatedFlagsRemovalVersion is the version without the deprecated flags.
const deprecatedFlagsRemovalVersion = "0.2.0"

// applyDeprecatedFlags sets the replacement of each deprecated flag that was given, and logs a warning that names it.
// It returns a usageError if both are given.
func applyDeprecatedFlags(command *kong.Context, log zerolog.Logger) error {
	given := givenFlags(command)
	for _, name := range slices.Sorted(maps.Keys(given)) {
		deprecated := given[name]
		replacementName := deprecated.Tag.Get(replacementTagKey)
		if replacementName == "" {
			continue
		}
		if given[replacementName] != nil {
			return usageError{fmt.Errorf("--%s is the deprecated name of --%s: give one of them", name, replacementName)}
		}
		replacement := findFlag(command, replacementName)
		if replacement == nil {
			return fmt.Errorf("--%s: its replacement --%s is no flag of the command", name, replacementName)
		}
		replacement.Target.Set(deprecated.Target)
		log.Warn().Str("flag", "--"+name).Str("replacement", "--"+replacementName).
			Str("removed_in", deprecatedFlagsRemovalVersion).Msg("deprecated flag")
	}
	return nil
}

// givenFlags returns the flags of the command line by name.
func givenFlags(command *kong.Context) map[string]*kong.Flag {
	given := map[string]*kong.Flag{}
	for _, element := range command.Path {
		if element.Flag != nil {
			given[element.Flag.Name] = element.Flag
		}
	}
	return given
}

// findFlag returns the command's flag of a name, or nil.
func findFlag(command *kong.Context, name string) *kong.Flag {
	for _, flag := range command.Flags() {
		if flag.Name == name {
			return flag
		}
	}
	return nil
}
