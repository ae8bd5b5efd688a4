package configuration

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/platform"
)

// Kind and name of the platform object that holds the newest version.
const (
	ObjectKind = "vanillaroad-configuration"
	HeadName   = "head"
)

// Stored is the value of the head object.
type Stored struct {
	// WriteID is drawn anew for each write, so that a lost answer can be
	// settled by reading back.
	WriteID  string    `json:"write_id"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	Document Document  `json:"document"`
}

// Write puts a new version on top of base. It returns platform.ErrConflict when
// another version won.
func Write(ctx context.Context, store platform.Store, s Stored, base int64) (int64, error) {
	value, err := json.Marshal(s)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	o, err := store.Put(ctx, ObjectKind, HeadName, value, base)
	if err == nil {
		return o.Version, nil
	}
	if errors.Is(err, platform.ErrUnknown) {
		return settle(ctx, store, s.WriteID, base)
	}
	return 0, err
}

// settle reads back after a lost answer.
func settle(ctx context.Context, store platform.Store, writeID string, base int64) (int64, error) {
	o, err := store.Get(ctx, ObjectKind, HeadName)
	if err != nil {
		return 0, errors.Wrap(platform.ErrUnknown, err.Error())
	}
	var s Stored
	if err := json.Unmarshal(o.Value, &s); err != nil {
		return 0, errors.Wrap(platform.ErrUnknown, err.Error())
	}
	switch {
	case s.WriteID == writeID:
		return o.Version, nil
	case o.Version == base:
		return 0, errors.WithStack(platform.ErrUnavailable)
	default:
		return 0, errors.WithStack(platform.ErrConflict)
	}
}
