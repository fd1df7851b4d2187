package catalog

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/platform"
)

// Guards against a host that is killed for its memory since updates pile up before the
// updater: while a large configuration changes often they come faster than a small
// host applies them.
func TestWaitingUpdatesTakeLittleMemory(t *testing.T) {
	const maxBytes = 16 << 20
	c := New(nil, zap.NewNop())
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	waiting := 0
	for c.Deliver(ctx, platform.Update{}) == nil {
		waiting++
	}
	if waiting == 0 || waiting*platform.MaxValueBytes > maxBytes {
		t.Errorf("%d updates wait, each with an object of up to %d bytes, want at most %d bytes", waiting, platform.MaxValueBytes, maxBytes)
	}
}
