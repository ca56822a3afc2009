// Package bundle encodes a set of objects as a manifest and content-addressed
// parts, and decodes it.
//
// Objects are distributed over a fixed number of parts by a hash of kind and
// name, so that a change to one object changes only one part and the manifest. A
// part is gzip-compressed text with one JSON object per line. Its digest is
// computed over the compressed data, so that it can be verified before it is
// decompressed.
package bundle

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"github.com/chestnutspring/chestnutspring/internal/objects"
)

const (
	// PartCount is the number of parts in a bundle.
	PartCount = 128
	// formatVersion is the version of the manifest and part format.
	formatVersion = 1
	// digestBytes is the length to which SHA-256 digests are truncated.
	digestBytes = 16
	// maxPartBytes and maxPartContent are the maximum sizes of a part in bytes,
	// compressed and decompressed.
	maxPartBytes   = 1 << 20
	maxPartContent = 8 << 20
	// maxManifestBytes is the maximum size of a manifest.
	maxManifestBytes = 1 << 20
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("bundle")
	// ErrMalformed is returned for a manifest or part that isn't in the format
	// that Build writes.
	ErrMalformed = Errors.NewType("malformed")
	// ErrMismatch is returned if a part's data doesn't match its digest.
	ErrMismatch = Errors.NewType("mismatch")
	// ErrPartUnavailable is returned if a part can't be fetched.
	ErrPartUnavailable = Errors.NewType("part")
)

// Bundle is an encoded set as an operator publishes it.
type Bundle struct {
	// Manifest is published under the name "manifest".
	Manifest []byte
	// Parts holds the parts by digest. A part is published under the name
	// "parts/" followed by its digest.
	Parts map[string][]byte
}

// Manifest lists the digests of the parts in order; "" is a part without
// objects.
type Manifest struct {
	Format int      `json:"format"`
	Parts  []string `json:"parts"`
}

// entry is one line of a part.
type entry struct {
	Kind   objects.Kind    `json:"kind"`
	Object json.RawMessage `json:"object"`
}

// Digest returns the digest of a part's data. It is safe in a URL path.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return base64.RawURLEncoding.EncodeToString(sum[:digestBytes])
}

// partIndex returns the index of the part that contains an object.
func partIndex(kind objects.Kind, name string) int {
	return int(xxhash.Sum64String(string(kind)+"/"+name) % PartCount)
}

// Build encodes a set. The result is deterministic.
func Build(set *objects.Set) (*Bundle, error) {
	var contents [PartCount]bytes.Buffer
	for _, o := range set.Objects() {
		if err := writeEntry(&contents[partIndex(o.Kind, o.Name)], o); err != nil {
			return nil, err
		}
	}
	manifest := Manifest{Format: formatVersion, Parts: make([]string, PartCount)}
	parts := map[string][]byte{}
	for i := range contents {
		if contents[i].Len() == 0 {
			continue
		}
		data, err := compress(contents[i].Bytes())
		if err != nil {
			return nil, err
		}
		manifest.Parts[i] = Digest(data)
		parts[manifest.Parts[i]] = data
	}
	data, err := json.Marshal(manifest)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "manifest")
	}
	return &Bundle{Manifest: data, Parts: parts}, nil
}

func writeEntry(buf *bytes.Buffer, o objects.Object) error {
	object, err := json.Marshal(o.Value)
	if err != nil {
		return ErrMalformed.Wrap(err, "%s %s", o.Kind, o.Name)
	}
	line, err := json.Marshal(entry{Kind: o.Kind, Object: object})
	if err != nil {
		return ErrMalformed.Wrap(err, "%s %s", o.Kind, o.Name)
	}
	buf.Write(line)
	buf.WriteByte('\n')
	return nil
}

func compress(content []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := gzip.NewWriterLevel(&buf, gzip.BestCompression)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "compression level")
	}
	if _, err := w.Write(content); err != nil {
		return nil, ErrMalformed.Wrap(err, "compression")
	}
	if err := w.Close(); err != nil {
		return nil, ErrMalformed.Wrap(err, "compression")
	}
	return buf.Bytes(), nil
}
