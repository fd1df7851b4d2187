package control

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
)

// fetchTimeout bounds the fetch of a manifest, which may be a megabyte.
const fetchTimeout = time.Second

// fetch names a peer that claims to hold a manifest version.
type fetch struct {
	address string
	version uint64
}

// fetcher is the duty that fetches manifests from peers. At start it asks its
// share of the configured peers, so that the process does not begin with a
// manifest older than theirs.
type fetcher struct {
	client        *http.Client
	inbox         *ring.Ring[fetch]
	configuration *ring.Ring[change]
	log           logger

	unasked  []string // peers still to be asked at start
	answered bool     // a peer has answered at start
	done     bool     // the end of the asking at start was told
}

// Serve implements supervisor.Duty.
func (f *fetcher) Serve(ctx context.Context) error {
	if err := f.askAtStart(ctx); err != nil {
		return err
	}
	return ring.Loop(ctx, f.inbox, func(order fetch) error {
		_, err := f.get(ctx, order.address)
		return err
	})
}

func (f *fetcher) askAtStart(ctx context.Context) error {
	for len(f.unasked) > 0 {
		ok, err := f.get(ctx, f.unasked[0])
		if err != nil {
			return err
		}
		f.answered = f.answered || ok
		f.unasked = f.unasked[1:]
	}
	if f.done {
		return nil
	}
	if err := f.configuration.Put(ctx, peersAsked{answered: f.answered}); err != nil {
		return err
	}
	f.done = true
	return nil
}

// get fetches a peer's manifest and offers it to configuration. It tells
// whether the peer answered; the error is only that of ctx.
func (f *fetcher) get(ctx context.Context, address string) (bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var held message.ManifestVersion
	err := codec.Fetch(callCtx, f.client, address, message.PathManifest, &held)
	if err != nil {
		f.log.Debug("manifest fetch failed", zap.String("peer", address), zap.String("error", err.Error()))
		return false, ctx.Err()
	}
	if held.Version == 0 {
		return true, nil
	}
	return true, f.configuration.Put(ctx, offered{version: held.Version, text: held.Manifest, source: address})
}
