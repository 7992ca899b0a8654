// Package replay owns recordings of the inputs and outputs of a module, and plays them to a module by itself. It must
// not know of jobs or sockets: a difference means that the program has decided something in the module's place.
//
// A recording is a gob stream: a header with the module's configuration and seed, then one record for each step. The types
// and fields of record.go are the format; what they are called is stored and stays.
package replay
