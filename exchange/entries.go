package exchange

import (
	"bytes"
	"sync"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Entries is a list of entries in a message. It is encoded as an array or, if the values
// are large, as the binary that zstd makes of that array. A daemon of an older build
// can't decode the binary and drops the message, as if it were lost.
type Entries []Entry

const (
	// compressAbove is the size of all values, in bytes, above which a list is
	// compressed.
	compressAbove = 2 << 10
	// maxDecodedBytes is the maximum size of a list after decompression, which is some
	// times that of the largest dataset.
	maxDecodedBytes = 8 << 20
	// compressionWindow is the distance in bytes up to which the encoder finds
	// repetitions. It exceeds the largest value of the platform's store.
	compressionWindow = 2 << 20
)

var (
	compressor = sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
			zstd.WithWindowSize(compressionWindow), zstd.WithLowerEncoderMem(true))
	})
	decompressor = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
			zstd.WithDecoderMaxMemory(maxDecodedBytes), zstd.WithDecoderMaxWindow(maxDecodedBytes))
	})
)

var (
	_ msgpack.CustomEncoder = Entries(nil)
	_ msgpack.CustomDecoder = (*Entries)(nil)
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (e Entries) EncodeMsgpack(enc *msgpack.Encoder) error {
	if e.valueBytes() <= compressAbove {
		return enc.Encode([]Entry(e))
	}
	plain, err := msgpack.Marshal([]Entry(e))
	if err != nil {
		return errors.Wrap(err, "encode entries")
	}
	z, err := compressor()
	if err != nil {
		return errors.Wrap(err, "compress entries")
	}
	return enc.EncodeBytes(z.EncodeAll(plain, nil))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (e *Entries) DecodeMsgpack(dec *msgpack.Decoder) error {
	code, err := dec.PeekCode()
	if err != nil {
		return errors.Wrap(err, "decode entries")
	}
	if !msgpcode.IsBin(code) {
		return e.decodeArray(dec)
	}
	packed, err := dec.DecodeBytes()
	if err != nil {
		return errors.Wrap(err, "decode entries")
	}
	z, err := decompressor()
	if err != nil {
		return errors.Wrap(err, "decompress entries")
	}
	plain, err := z.DecodeAll(packed, nil)
	if err != nil {
		return errors.Wrap(err, "decompress entries")
	}
	return e.decodeArray(msgpack.NewDecoder(bytes.NewReader(plain)))
}

// decodeArray decodes one entry after the other, because the decoder would allocate as
// many as a damaged length says.
func (e *Entries) decodeArray(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return errors.Wrap(err, "decode entries")
	}
	*e = nil
	for range n {
		var entry Entry
		if err := dec.Decode(&entry); err != nil {
			return errors.Wrap(err, "decode entry")
		}
		if entry.Name == "" {
			return errors.New("decode entry: no name")
		}
		*e = append(*e, entry)
	}
	return nil
}

// valueBytes returns the total size of the values.
func (e Entries) valueBytes() int {
	n := 0
	for _, entry := range e {
		n += len(entry.Value)
	}
	return n
}
