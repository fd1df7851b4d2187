package platform

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"
)

// Outcome is what is known about a write.
type Outcome int

// The outcomes of a write.
const (
	// Undetermined means that the write may or may not have taken effect,
	// or may yet.
	Undetermined Outcome = iota
	// Applied means that the write took effect.
	Applied
	// NotApplied means that the write did not and will not take effect.
	NotApplied
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"still unknown", "applied", "not applied"}[o]
}

// Classifier tells what a later version of an object says about a write: Applied
// if the object is the written one or grew out of it, NotApplied if it shows
// that the write was not among its predecessors, else StillUnknown.
type Classifier func(Object) Outcome

// PutRecover is Put for a writer that can recognise its own write. After a
// lost answer or a conflict it reads the object back and asks judge, which is
// only shown versions above ifVersion. The conflict is included because a
// call whose outcome stayed unknown may be made again with the same value.
//
// Applied comes with the version of the object found. NotApplied comes with
// the error of Put; the write is conditional, so it can't take effect later
// once the object has moved on. StillUnknown comes with an error; it is also
// the answer when the object could not be read back, or is still at
// ifVersion, where the write may yet arrive.
func (c *Client) PutRecover(ctx context.Context, key string, ifVersion uint64, value any,
	judge Classifier) (Outcome, uint64, error) {
	version, err := c.Put(ctx, key, ifVersion, value)
	var conflict *ConflictError
	switch {
	case err == nil:
		return Applied, version, nil
	case errors.As(err, &conflict), errors.Is(err, ErrOutcomeUnknown):
		return c.readBack(ctx, key, ifVersion, err, judge)
	default:
		return NotApplied, 0, err
	}
}

func (c *Client) readBack(ctx context.Context, key string, ifVersion uint64, cause error,
	judge Classifier) (Outcome, uint64, error) {
	object, err := c.Get(ctx, key)
	if err != nil {
		return Undetermined, 0, eris.Wrapf(cause, "read back: %v", err)
	}
	if object.Version <= ifVersion {
		return Undetermined, 0, eris.Wrapf(cause, "read back: still at version %d", object.Version)
	}
	switch judge(object) {
	case Applied:
		return Applied, object.Version, nil
	case NotApplied:
		return NotApplied, object.Version, cause
	default:
		return Undetermined, object.Version, eris.Wrap(cause, "read back: the object does not tell")
	}
}
