// Package settings owns the configuration files: their schema, defaults and units, and errors that name the file, line,
// field, value and reason. It must not open sockets or decide anything.
//
// A file is a CUE document (JSON is CUE too) that has to unify with a record of the schema. The keys of the schema are
// the names in the files; the fields of the Go records have the terms of the module, and their JSON tags map one to the
// other. Values of this package are not changed after reading and may then be read by several goroutines.
package settings
