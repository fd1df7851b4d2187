package journal

import (
	"strconv"
	"time"
)

// keyLength is the length of a UUID in its text form.
const keyLength = 36

// KeyTime returns the timestamp of an idempotency key, and false if the key is
// not a UUIDv7.
func KeyTime(key string) (time.Time, bool) {
	if len(key) != keyLength || key[14] != '7' || !isUUID(key) {
		return time.Time{}, false
	}
	ms, err := strconv.ParseInt(key[0:8]+key[9:13], 16, 64)
	return time.UnixMilli(ms), err == nil
}

func isUUID(key string) bool {
	for i := range key {
		c := key[i]
		switch {
		case i == 8 || i == 13 || i == 18 || i == 23:
			if c != '-' {
				return false
			}
		case c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F':
		default:
			return false
		}
	}
	return true
}

// keyAccepted reports whether the key's timestamp is neither older than the
// retention period nor further in the future than the clock skew.
func (m *Machine) keyAccepted(key string, now time.Time) bool {
	at, ok := KeyTime(key)
	return ok && !at.Before(now.Add(-m.config.Retention)) && !at.After(now.Add(m.config.ClockSkew))
}
