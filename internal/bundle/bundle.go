// Package bundle writes a set of objects as a manifest and content-addressed
// parts, and reads it back.
//
// Objects are spread over a fixed number of parts by a hash of their names,
// so that a change of one object changes one part and the manifest. A part is
// gzip data of one JSON object a line; its digest is taken over the compressed
// data, so that it is verified before it is read.
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
	// PartCount is the number of parts of a bundle.
	PartCount = 128
	// formatVersion is the version of the manifest's and the parts' form.
	formatVersion = 1
	// digestBytes is how much of a part's SHA-256 names it.
	digestBytes = 16
	// maxPartBytes bounds a compressed part and maxPartContent its content.
	maxPartBytes   = 1 << 20
	maxPartContent = 8 << 20
	// maxManifestBytes bounds a manifest.
	maxManifestBytes = 1 << 20
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("bundle")
	// ErrMalformed says that a manifest or part isn't in the form that Build
	// writes.
	ErrMalformed = Errors.NewType("malformed")
	// ErrMismatch says that a part's data doesn't match its digest.
	ErrMismatch = Errors.NewType("mismatch")
	// ErrPartUnavailable says that a part couldn't be had.
	ErrPartUnavailable = Errors.NewType("part")
)

// Bundle is what an operator publishes.
type Bundle struct {
	// Manifest is the value of the name "manifest".
	Manifest []byte
	// Parts are the values of "parts/" and the digest.
	Parts map[string][]byte
}

// Manifest lists the digests of the parts in order; "" stands for a part
// without objects.
type Manifest struct {
	Format int      `json:"format"`
	Parts  []string `json:"parts"`
}

// entry is one line of a part.
type entry struct {
	Kind   objects.Kind    `json:"kind"`
	Object json.RawMessage `json:"object"`
}

// Digest returns the digest that names a part's data. It is safe in a URL's
// path.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return base64.RawURLEncoding.EncodeToString(sum[:digestBytes])
}

// partIndex returns the number of the part that holds an object.
func partIndex(kind objects.Kind, name string) int {
	return int(xxhash.Sum64String(string(kind)+"/"+name) % PartCount)
}

// Build returns the bundle of a set. The same set gives the same bytes.
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
