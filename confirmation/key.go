package confirmation

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// ErrInvalidKey is returned for a key that was not issued by a daemon.
var ErrInvalidKey = errors.New("key has not the form of an issued key: milliseconds, epoch and nonce with dashes between")

// Key is a parsed idempotency key of the form "<issued>-<epoch>-<nonce>".
// Issued is the time of issue in Unix milliseconds. Epoch, in hexadecimal, is
// the shard's epoch that the issuing daemon knew. The key cannot have been used
// in an earlier epoch, whatever the daemons' clocks show. Nonce selects
// the shard.
type Key struct {
	Text   string
	Issued time.Time
	Epoch  int64
	Nonce  string
}

// ParseKey parses a key. It returns ErrInvalidKey if text is not an issued key.
func ParseKey(text string) (Key, error) {
	parts := strings.Split(text, "-")
	if len(parts) != 3 || parts[2] == "" {
		return Key{}, errors.WithStack(ErrInvalidKey)
	}
	ms, err := strconv.ParseInt(parts[0], 10, 64)
	if err != nil || ms <= 0 {
		return Key{}, errors.WithStack(ErrInvalidKey)
	}
	epoch, err := strconv.ParseInt(parts[1], 16, 64)
	if err != nil || epoch <= 0 {
		return Key{}, errors.WithStack(ErrInvalidKey)
	}
	return Key{Text: text, Issued: time.UnixMilli(ms), Epoch: epoch, Nonce: parts[2]}, nil
}

// FormatKey returns the text of a key issued in epoch.
func FormatKey(issued time.Time, epoch int64, nonce string) string {
	return fmt.Sprintf("%d-%x-%s", issued.UnixMilli(), epoch, nonce)
}

// ShardOf returns the shard of a nonce among count shards.
func ShardOf(nonce string, count int) int {
	return int(xxhash.Sum64String(nonce) % uint64(count))
}
