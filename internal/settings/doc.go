// Package settings reads and validates the CUE configuration files of schedulers and stand-in clusters. schema.cue defines
// their fields, defaults and units. Errors name the file, line, field, value and reason.
//
// A file is a CUE document (JSON is valid CUE) that must unify with a definition of the schema, such as #Scheduler. The Go
// structs name their fields after the placement module's configuration; their JSON tags have the keys that the files use. CUE
// matches the tags regardless of case.
//
// Deprecated settings still work until the version that removes them, and each use is reported as a Deprecation. The decoded
// configurations do not change after they are read and are then safe for concurrent use.
package settings
