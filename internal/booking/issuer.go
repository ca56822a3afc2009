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
	// EpochLength is the period in which an issuer hands out the same prefix.
	EpochLength = 5 * time.Second
	// macBytes is the length of the truncated HMAC.
	macBytes = 8
	// secretBytes is the length of the HMAC key.
	secretBytes = 32
)

// Issuer issues the key prefixes of this incarnation and authenticates them.
// Its secret never leaves the process, so prefixes don't outlive a restart.
type Issuer struct {
	self   snapshot.Identity
	now    clock.Clock
	start  clock.Instant
	secret [secretBytes]byte
}

// NewIssuer returns an Issuer with a new random secret.
func NewIssuer(self snapshot.Identity, now clock.Clock) *Issuer {
	i := &Issuer{self: self, now: now, start: now()}
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(i.secret[:])
	return i
}

// Prefix returns the prefix of the current epoch.
func (i *Issuer) Prefix() string {
	key := Key{VM: i.self.VM, Incarnation: i.self.Incarnation, Epoch: i.epoch()}
	key.MAC = i.mac(key)
	return key.prefix()
}

// Issued reports whether this incarnation issued the key's prefix. It checks
// the MAC.
func (i *Issuer) Issued(key Key) bool {
	return i.Owns(key) && hmac.Equal([]byte(i.mac(key)), []byte(key.MAC))
}

// Owns reports whether the key names this incarnation. It doesn't check the
// MAC.
func (i *Issuer) Owns(key Key) bool {
	return key.VM == i.self.VM && key.Incarnation == i.self.Incarnation
}

// Expires returns the end of the key's validity. The window starts at the end
// of the key's epoch, so that each key is valid for at least the window.
func (i *Issuer) Expires(key Key, window time.Duration) clock.Instant {
	return i.epochEnd(key.Epoch).Add(window)
}

func (i *Issuer) epoch() uint64 { return uint64(i.now().Sub(i.start) / EpochLength) }

func (i *Issuer) epochEnd(epoch uint64) clock.Instant {
	return i.start.Add(time.Duration(epoch+1) * EpochLength)
}

func (i *Issuer) mac(key Key) string {
	mac := hmac.New(sha256.New, i.secret[:])
	mac.Write([]byte(key.signedText()))
	return hex.EncodeToString(mac.Sum(nil)[:macBytes])
}
