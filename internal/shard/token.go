package shard

// EncodeToken combines a core and the token of a sync that the core requests into one token. The peer that is asked for the
// sync returns the combined token in its answer.
func EncodeToken(core int, token uint64) uint64 { return token*MaxCores + uint64(core) }

// DecodeToken decodes a token that was encoded by EncodeToken.
func DecodeToken(encoded uint64) (core int, token uint64) {
	return int(encoded % MaxCores), encoded / MaxCores
}
