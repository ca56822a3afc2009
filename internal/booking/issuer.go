package booking

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

const (
	// EpochLength is the period for which one prefix is issued.
	EpochLength = 5 * time.Second
	// codeBytes is the length of the truncated authentication code.
	codeBytes = 8
	// secretBytes is the length of the secret.
	secretBytes = 32
)

// Issuer gives out the key prefixes of this incarnation and recognizes them.
// Its secret lives in this process only.
type Issuer struct {
	self   snapshot.Identity
	now    clock.Clock
	start  clock.Instant
	secret [secretBytes]byte
}

// NewIssuer returns an issuer with a new secret.
func NewIssuer(self snapshot.Identity, now clock.Clock) *Issuer {
	i := &Issuer{self: self, now: now, start: now()}
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(i.secret[:])
	return i
}

// Prefix returns the prefix for keys that are made now.
func (i *Issuer) Prefix() string {
	key := Key{VM: i.self.VM, Incarnation: i.self.Incarnation, Epoch: i.epoch()}
	key.MAC = i.code(key)
	return key.prefix()
}

// Issued reports whether this incarnation issued the key's prefix.
func (i *Issuer) Issued(key Key) bool {
	return i.Owns(key) && hmac.Equal([]byte(i.code(key)), []byte(key.MAC))
}

// Owns reports whether the key names this incarnation.
func (i *Issuer) Owns(key Key) bool {
	return key.VM == i.self.VM && key.Incarnation == i.self.Incarnation
}

// Expires returns the end of the key's validity. The window counts from the
// end of the epoch, so that each key is valid for at least the window.
func (i *Issuer) Expires(key Key, window time.Duration) clock.Instant {
	return i.epochEnd(key.Epoch).Add(window)
}

func (i *Issuer) epoch() uint64 { return uint64(i.now().Sub(i.start) / EpochLength) }

func (i *Issuer) epochEnd(epoch uint64) clock.Instant {
	return i.start.Add(time.Duration(epoch+1) * EpochLength)
}

func (i *Issuer) code(key Key) string {
	mac := hmac.New(sha256.New, i.secret[:])
	mac.Write([]byte(key.signedPart()))
	return hex.EncodeToString(mac.Sum(nil)[:codeBytes])
}
