package callers

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
)

// Request headers of callers.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerDeadline       = "Kingcup-Deadline-Ms"
	headerTier           = "Kingcup-Tier"
)

// requestNamespace is the name space of the ids of requests with a key.
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

// uuidTime returns the time within a UUIDv7, or zero if it is none.
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

// requestIDForKey returns the id of a request with an idempotency key: the same for
// every resend, so that an endpoint that checks ids sees the resend too.
func requestIDForKey(account, key string) string {
	return uuid.NewSHA1(requestNamespace, []byte(account+"\x00"+strings.ToLower(key))).String()
}

// fingerprint names the account and the request, to recognise a resend.
func fingerprint(account, method, path string, body []byte) string {
	hash := sha256.New()
	hash.Write([]byte(account + "\x00" + method + "\x00" + path + "\x00"))
	hash.Write(body)
	const shortBytes = 16
	return hex.EncodeToString(hash.Sum(nil)[:shortBytes])
}
