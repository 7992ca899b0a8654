// Package replay records the inputs and outputs of the scheduling module (package flaxshelf), and replays a recording to a new
// module without the program that hosted the recorded one. The package must not depend on task execution or sockets: the
// module then gets nothing but the recorded inputs, and a divergence means that the host made a decision of its own.
//
// A recording is a gob stream: a header with the module's configuration and seed, then one record for each step. The types
// of record.go are the format: their field names are stored and must not change.
package replay
