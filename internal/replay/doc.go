// Package replay records the inputs and outputs of a module, and replays recordings to a module without its host. It must
// not depend on jobs or sockets: a divergence means that the host made a decision of its own.
//
// A recording is a gob stream: a header with the module's configuration and seed, then one record for each step. The types
// of record.go are the format: their field names are stored and must not change.
package replay
