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

// fetchTimeout limits the fetch of a manifest, which may be as large as 1 MB.
const fetchTimeout = time.Second

// fetchRequest names a peer that announces a manifest version.
type fetchRequest struct {
	address string
	version uint64
}

// fetcher is the duty that fetches manifests from peers. At start it asks its
// share of the configured peers, so that the process does not start with a
// manifest older than theirs.
type fetcher struct {
	client        *http.Client
	inbox         *ring.Ring[fetchRequest]
	configuration *ring.Ring[configurationMessage]
	log           logger

	startupPeers    []string // peers not asked yet at start
	peerResponded   bool     // a peer responded at start
	startupReported bool     // startupFetchDone was sent
}

// Serve implements supervisor.Duty.
func (f *fetcher) Serve(ctx context.Context) error {
	if err := f.fetchAtStartup(ctx); err != nil {
		return err
	}
	return ring.Loop(ctx, f.inbox, func(request fetchRequest) error {
		_, err := f.fetchManifest(ctx, request.address)
		return err
	})
}

func (f *fetcher) fetchAtStartup(ctx context.Context) error {
	for len(f.startupPeers) > 0 {
		responded, err := f.fetchManifest(ctx, f.startupPeers[0])
		if err != nil {
			return err
		}
		f.peerResponded = f.peerResponded || responded
		f.startupPeers = f.startupPeers[1:]
	}
	if f.startupReported {
		return nil
	}
	if err := f.configuration.Put(ctx, startupFetchDone{responded: f.peerResponded}); err != nil {
		return err
	}
	f.startupReported = true
	return nil
}

// fetchManifest fetches a peer's manifest and offers it to the configuration
// duty. It returns whether the peer responded, and an error only if ctx ends.
func (f *fetcher) fetchManifest(ctx context.Context, address string) (bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var fetched message.ManifestVersion
	err := codec.Fetch(callCtx, f.client, address, message.PathManifest, &fetched)
	if err != nil {
		f.log.Debug("manifest fetch failed", zap.String("peer", address), zap.String("error", err.Error()))
		return false, ctx.Err()
	}
	if fetched.Version == 0 {
		return true, nil
	}
	return true, f.configuration.Put(ctx, manifestOffer{version: fetched.Version, manifestJSON: fetched.Manifest, source: address})
}
