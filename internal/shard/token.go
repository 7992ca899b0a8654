package shard

// EncodeToken encodes a core and its sync token as one token for a peer.
func EncodeToken(core int, token uint64) uint64 { return token*MaxCores + uint64(core) }

// DecodeToken decodes a token that was encoded by EncodeToken.
func DecodeToken(sent uint64) (core int, token uint64) { return int(sent % MaxCores), sent / MaxCores }
