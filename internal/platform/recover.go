package platform

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"
)

// Outcome is what is known about the effect of a write.
type Outcome int

// The outcomes of a write.
const (
	// Undetermined means that the write may or may not have been applied, or
	// may still be.
	Undetermined Outcome = iota
	// Applied means that the write was applied.
	Applied
	// NotApplied means that the write was not and will not be applied.
	NotApplied
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"still unknown", "applied", "not applied"}[o]
}

// Classifier derives the outcome of a write from a later version of the object:
// Applied if the object is the written one or descends from it, NotApplied if
// it proves that the write was not among its predecessors, else Undetermined.
type Classifier func(Object) Outcome

// PutRecover is Put for a writer that can recognise its own write. After a
// lost response or a conflict it reads the object back and passes it to
// classify, which only gets versions above ifVersion. Conflicts are included
// because a call with an undetermined outcome may be repeated with the same
// value.
//
// Applied is returned with the version of the object found. NotApplied is
// returned with the error of Put; the write is conditional, so it can't be
// applied later once the object has a newer version. Undetermined is returned
// with an error, also if the object could not be read back, or is still at
// ifVersion, where the write may still arrive.
func (c *Client) PutRecover(ctx context.Context, key string, ifVersion uint64, value any,
	classify Classifier) (Outcome, uint64, error) {
	version, err := c.Put(ctx, key, ifVersion, value)
	var conflict *ConflictError
	switch {
	case err == nil:
		return Applied, version, nil
	case errors.As(err, &conflict), errors.Is(err, ErrOutcomeUnknown):
		return c.readBack(ctx, key, ifVersion, err, classify)
	default:
		return NotApplied, 0, err
	}
}

func (c *Client) readBack(ctx context.Context, key string, ifVersion uint64, cause error,
	classify Classifier) (Outcome, uint64, error) {
	object, err := c.Get(ctx, key)
	if err != nil {
		return Undetermined, 0, eris.Wrapf(cause, "read back: %v", err)
	}
	if object.Version <= ifVersion {
		return Undetermined, 0, eris.Wrapf(cause, "read back: still at version %d", object.Version)
	}
	switch classify(object) {
	case Applied:
		return Applied, object.Version, nil
	case NotApplied:
		return NotApplied, object.Version, cause
	default:
		return Undetermined, object.Version, eris.Wrap(cause, "read back: the object does not show whether the write was applied")
	}
}
