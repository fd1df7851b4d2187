package supervisor

import (
	"context"
	"io"
)

// CloseOnDone closes the resource when ctx ends, so that a duty blocked in a
// read or an accept returns with an error. A duty calls the returned function
// when it returns: it cancels the close, or waits for it to complete if ctx has
// ended. Otherwise a port could accept connections after its duty has stopped.
func CloseOnDone(ctx context.Context, resource io.Closer) (release func()) {
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		_ = resource.Close()
	})
	return func() {
		if !stop() {
			<-closed
		}
	}
}
