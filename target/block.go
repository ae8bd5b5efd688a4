package target

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockChars is the length of a prefix cache block in bytes of the prompt.
const BlockChars = 64

// BlockHashes returns the hashes of the complete blocks of a prompt, at most limit of
// them. Each hash covers the previous one, and the first one covers model and version,
// so that equal hashes mean equal prefixes.
func BlockHashes(model, version, prompt string, limit int) []uint64 {
	previous := xxhash.Sum64String(model + "\x00" + version)
	var out []uint64
	for len(prompt) >= BlockChars && len(out) < limit {
		d := xxhash.New()
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], previous)
		_, _ = d.Write(b[:])
		_, _ = d.WriteString(prompt[:BlockChars])
		previous = d.Sum64()
		out = append(out, previous)
		prompt = prompt[BlockChars:]
	}
	return out
}
