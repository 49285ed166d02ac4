package ledger

import (
	"encoding/hex"
	"fmt"
	"strings"
	"time"
)

const (
	// keyAgeMargin is how much younger than the retention a key must be, so that its intent is still on the log despite
	// clock skew and queueing.
	keyAgeMargin = 10 * time.Minute
	// maxClockSkew is how far a key's time may be ahead of the local clock.
	maxClockSkew = 5 * time.Minute
	// uuidLength is the length of a UUID in text form.
	uuidLength = 36
)

// KeyError is the error of an invalid idempotency key.
type KeyError struct{ Reason string }

// Error implements error.
func (e *KeyError) Error() string { return "idempotency key " + e.Reason }

// ParseKey returns the canonical form of a UUIDv7 and its time stamp. Its errors are of type [*KeyError].
func ParseKey(key string) (string, time.Time, error) {
	if key == "" {
		return "", time.Time{}, &KeyError{"is missing; a non-repeatable call needs a UUIDv7"}
	}
	key = strings.ToLower(key)
	var raw [16]byte
	if len(key) != uuidLength || key[8] != '-' || key[13] != '-' || key[18] != '-' || key[23] != '-' {
		return "", time.Time{}, &KeyError{"must be a UUIDv7, such as 01890a5d-ac96-774b-bcce-b302099a8057"}
	}
	if n, err := hex.Decode(raw[:], []byte(strings.ReplaceAll(key, "-", ""))); err != nil || n != len(raw) {
		return "", time.Time{}, &KeyError{"must be a UUIDv7 with hexadecimal digits"}
	}
	if raw[6]>>4 != 7 || raw[8]>>6 != 2 {
		return "", time.Time{}, &KeyError{"must be a UUID of version 7"}
	}
	var ms int64
	for _, b := range raw[:6] {
		ms = ms<<8 | int64(b)
	}
	return key, time.UnixMilli(ms), nil
}

// CheckKey returns the canonical form of a valid key. A key must be recent enough for the log to retain its records.
// Errors are of type [*KeyError].
func CheckKey(key string, now time.Time, retention time.Duration) (string, error) {
	key, at, err := ParseKey(key)
	if err != nil {
		return "", err
	}
	if age := now.Sub(at); age > retention-keyAgeMargin {
		return "", &KeyError{fmt.Sprintf("is %v old, at most %v is accepted", age.Round(time.Second), retention-keyAgeMargin)}
	}
	if ahead := at.Sub(now); ahead > maxClockSkew {
		return "", &KeyError{fmt.Sprintf("is %v ahead of the clock, at most %v is accepted", ahead.Round(time.Second), maxClockSkew)}
	}
	return key, nil
}

// NewKey returns a UUIDv7 made of a time and of random bits: the low 26 bits of hi and the low 48 bits of lo.
func NewKey(at time.Time, hi, lo uint64) string {
	ms := uint64(at.UnixMilli())
	return fmt.Sprintf("%08x-%04x-7%03x-%04x-%012x", uint32(ms>>16), uint16(ms), hi&0xfff, 0x8000|(hi>>12)&0x3fff, lo&0xffffffffffff)
}
