package supervisor

import (
	"context"
	"io"
)

// CloseOnDone closes the resource when ctx ends, so that a duty that waits
// in a read or an accept gets an error then. The returned function takes
// this back; a duty calls it when it leaves by itself.
func CloseOnDone(ctx context.Context, resource io.Closer) (release func()) {
	stop := context.AfterFunc(ctx, func() { _ = resource.Close() })
	return func() { stop() }
}
