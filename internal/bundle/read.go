package bundle

import (
	"bytes"
	"compress/gzip"
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"

	"github.com/chestnutspring/chestnutspring/internal/objects"
)

// Reader decodes successive bundles. It caches the parts of the last one, so that
// only changed parts are fetched and decoded, and unchanged objects are shared
// between sets. It is not safe for concurrent use.
type Reader struct {
	parts map[string][]objects.Object // by digest
}

// NewReader returns a Reader without cached parts.
func NewReader() *Reader { return &Reader{parts: map[string][]objects.Object{}} }

// Open decodes a bundle and validates the set. It calls get to fetch a part by
// its digest. The error is ErrMalformed, ErrMismatch, ErrPartUnavailable or a
// *objects.FaultError.
func Open(manifest []byte, get func(digest string) ([]byte, error)) (*objects.Set, error) {
	return NewReader().Open(manifest, get)
}

// ParseManifest decodes and validates a manifest. The error is ErrMalformed.
func ParseManifest(data []byte) (*Manifest, error) {
	if len(data) > maxManifestBytes {
		return nil, ErrMalformed.New("the manifest has more than %d bytes", maxManifestBytes)
	}
	var m Manifest
	if err := decodeStrictJSON(data, &m); err != nil {
		return nil, ErrMalformed.Wrap(err, "manifest")
	}
	if m.Format != formatVersion {
		return nil, ErrMalformed.New("the manifest's format is %d, not %d", m.Format, formatVersion)
	}
	if len(m.Parts) != PartCount {
		return nil, ErrMalformed.New("the manifest lists %d parts, not %d", len(m.Parts), PartCount)
	}
	for _, digest := range m.Parts {
		if digest != "" && !validDigest(digest) {
			return nil, ErrMalformed.New("%q isn't a digest", digest)
		}
	}
	return &m, nil
}

func validDigest(digest string) bool {
	sum, err := base64.RawURLEncoding.DecodeString(digest)
	return err == nil && len(sum) == digestBytes
}

// Digests returns the digests of all non-empty parts.
func (m *Manifest) Digests() []string {
	digests := make([]string, 0, len(m.Parts))
	for _, digest := range m.Parts {
		if digest != "" {
			digests = append(digests, digest)
		}
	}
	return digests
}

// Verify returns ErrMismatch unless data has the given digest and a permitted
// size.
func Verify(digest string, data []byte) error {
	if len(data) > maxPartBytes {
		return ErrMismatch.New("part %s has more than %d bytes", digest, maxPartBytes)
	}
	if got := Digest(data); got != digest {
		return ErrMismatch.New("part %s has the digest %s", digest, got)
	}
	return nil
}

// Open is like the function Open, but reuses the cached parts. The cache is left
// unchanged if an error is returned.
func (r *Reader) Open(manifest []byte, get func(digest string) ([]byte, error)) (*objects.Set, error) {
	m, err := ParseManifest(manifest)
	if err != nil {
		return nil, err
	}
	set := objects.NewSet()
	parts := make(map[string][]objects.Object, PartCount)
	for i, digest := range m.Parts {
		if digest == "" {
			continue
		}
		part, err := r.loadPart(i, digest, get)
		if err != nil {
			return nil, err
		}
		parts[digest] = part
		for _, o := range part {
			if !set.Add(o.Value) {
				return nil, ErrMalformed.New("%s %s appears twice in part %d", o.Kind, o.Name, i)
			}
		}
	}
	set.Index()
	if faults := set.Check(); len(faults) > 0 {
		return nil, &objects.FaultError{Faults: faults}
	}
	r.parts = parts
	return set, nil
}

func (r *Reader) loadPart(index int, digest string, get func(string) ([]byte, error)) ([]objects.Object, error) {
	if cached, ok := r.parts[digest]; ok {
		return cached, nil
	}
	data, err := get(digest)
	if err != nil {
		return nil, ErrPartUnavailable.Wrap(err, "part %s", digest)
	}
	if err := Verify(digest, data); err != nil {
		return nil, err
	}
	return decodePart(index, data)
}

// decodePart decompresses and decodes the part with the given index in the
// manifest.
func decodePart(index int, data []byte) ([]objects.Object, error) {
	unzip, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "part %d", index)
	}
	content, err := io.ReadAll(io.LimitReader(unzip, maxPartContent+1))
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "part %d", index)
	}
	if len(content) > maxPartContent {
		return nil, ErrMalformed.New("part %d is larger than %d bytes when decompressed", index, maxPartContent)
	}
	var list []objects.Object
	for line := range bytes.Lines(content) {
		o, err := decodeEntry(line)
		if err != nil {
			return nil, err
		}
		if partIndex(o.Kind, o.Name) != index {
			return nil, ErrMalformed.New("%s %s doesn't belong in part %d", o.Kind, o.Name, index)
		}
		list = append(list, o)
	}
	return list, nil
}

func decodeEntry(line []byte) (objects.Object, error) {
	var e entry
	if err := decodeStrictJSON(line, &e); err != nil {
		return objects.Object{}, ErrMalformed.Wrap(err, "entry of a part")
	}
	value := objects.New(e.Kind)
	if value == nil {
		return objects.Object{}, ErrMalformed.New("unknown kind %q", e.Kind)
	}
	if err := decodeStrictJSON(e.Object, value); err != nil {
		return objects.Object{}, ErrMalformed.Wrap(err, "object of kind %s", e.Kind)
	}
	return objects.Object{Kind: e.Kind, Name: objects.NameOf(value), Value: value}, nil
}

// decodeStrictJSON decodes exactly one JSON value. Unknown fields are an error,
// because a process must not ignore configuration that it doesn't know.
func decodeStrictJSON(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more data after the value")
	}
	return nil
}
