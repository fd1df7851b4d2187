package supervisor

import (
	"context"
	"io"
)

// CloseOnDone closes the resource when ctx ends, so that a duty blocked in a
// read or an accept returns with an error. The returned function cancels this;
// a duty calls it when it returns for another reason.
func CloseOnDone(ctx context.Context, resource io.Closer) (release func()) {
	stop := context.AfterFunc(ctx, func() { _ = resource.Close() })
	return func() { stop() }
}
