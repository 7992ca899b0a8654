// Package settings reads the configuration files: their schema, defaults and units, and errors that name the file, line,
// field, value and reason.
//
// A file is a CUE document (JSON is CUE too) that must unify with a record of the schema. The keys of the schema are the
// names in the files; the fields of the Go records have the terms of the module, and their JSON tags map one to the other.
// A deprecated setting has its meaning until it is removed, and is reported as a Deprecation. Values of this package are
// read-only after reading and then safe for concurrent use.
package settings
