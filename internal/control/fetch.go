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

// fetchRequest names a peer that claims to hold a manifest version.
type fetchRequest struct {
	address string
	version uint64
}

// fetcher is the duty that fetches manifests from peers. At start it asks its
// share of the configured peers, so that the process does not begin with a
// manifest older than theirs.
type fetcher struct {
	client        *http.Client
	inbox         *ring.Ring[fetchRequest]
	configuration *ring.Ring[configurationMessage]
	log           logger

	startupPeers    []string // peers still to be asked at start
	peerAnswered    bool     // a peer has answered at start
	startupReported bool     // the end of the asking at start was told
}

// Serve implements supervisor.Duty.
func (f *fetcher) Serve(ctx context.Context) error {
	if err := f.fetchAtStartup(ctx); err != nil {
		return err
	}
	return ring.Loop(ctx, f.inbox, func(order fetchRequest) error {
		_, err := f.fetchManifest(ctx, order.address)
		return err
	})
}

func (f *fetcher) fetchAtStartup(ctx context.Context) error {
	for len(f.startupPeers) > 0 {
		ok, err := f.fetchManifest(ctx, f.startupPeers[0])
		if err != nil {
			return err
		}
		f.peerAnswered = f.peerAnswered || ok
		f.startupPeers = f.startupPeers[1:]
	}
	if f.startupReported {
		return nil
	}
	if err := f.configuration.Put(ctx, startupFetchDone{answered: f.peerAnswered}); err != nil {
		return err
	}
	f.startupReported = true
	return nil
}

// fetchManifest fetches a peer's manifest and offers it to configuration. It tells
// whether the peer answered; the error is only that of ctx.
func (f *fetcher) fetchManifest(ctx context.Context, address string) (bool, error) {
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
	return true, f.configuration.Put(ctx, manifestOffer{version: held.Version, manifestJSON: held.Manifest, source: address})
}
