package callers

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
)

// Request headers set by callers.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerDeadline       = "Kingcup-Deadline-Ms"
	headerTier           = "Kingcup-Tier"
)

// requestNamespace is the UUID namespace of request ids derived from keys.
var requestNamespace = uuid.NewSHA1(uuid.NameSpaceURL, []byte("kingcupcourse:request"))

// bearerKeyHash returns the hex SHA-256 hash of the bearer key, or an empty
// string if there is none.
func bearerKeyHash(header http.Header) string {
	key, ok := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// uuidTime returns the timestamp of a UUIDv7, or the zero time for any other
// string.
func uuidTime(key string) time.Time {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || len(key) != 36 {
		return time.Time{}
	}
	const millisecondBytes = 6
	var milliseconds int64
	for _, b := range id[:millisecondBytes] {
		milliseconds = milliseconds<<8 | int64(b)
	}
	return time.UnixMilli(milliseconds)
}

// requestIDForKey returns the request id for an idempotency key. It is the
// same for every resend, so that an endpoint that checks ids recognizes the
// resend too.
func requestIDForKey(account, key string) string {
	return uuid.NewSHA1(requestNamespace, []byte(account+"\x00"+strings.ToLower(key))).String()
}

// fingerprint returns a hash of the account and the request, by which a resend
// is recognized.
func fingerprint(account, method, path string, body []byte) string {
	hash := sha256.New()
	hash.Write([]byte(account + "\x00" + method + "\x00" + path + "\x00"))
	hash.Write(body)
	const fingerprintBytes = 16
	return hex.EncodeToString(hash.Sum(nil)[:fingerprintBytes])
}
