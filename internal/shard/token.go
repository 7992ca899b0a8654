package shard

// Token is what a peer is sent in place of a core's sync token, so that its answer leads to the core.
func Token(core int, token uint64) uint64 { return token*MaxCores + uint64(core) }

// Untoken returns the core and its token of what Token made.
func Untoken(sent uint64) (core int, token uint64) { return int(sent % MaxCores), sent / MaxCores }
