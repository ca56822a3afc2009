package upstream

import (
	"encoding/json"
	"mime"
	"net/http"
	"strings"
)

// Framing is how the end of a response body is marked.
type Framing string

// The kinds of framing.
const (
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	// FramedByClose means that the body ends with its connection. Its end doesn't
	// show whether the server had sent the whole body.
	FramedByClose Framing = "close"
)

// FramingOf returns how the end of the response's body is marked.
func FramingOf(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	case resp.ContentLength >= 0:
		return FramedByLength
	default:
		return FramedByClose
	}
}

// IsTruncated reports whether a response body that was read to its end is known to
// be incomplete. A server that crashes may end a body that is framed by close; only
// the content can show that. Bodies other than JSON show nothing, unless they are empty.
func IsTruncated(resp *http.Response, body []byte) bool {
	if FramingOf(resp) != FramedByClose || resp.Request != nil && resp.Request.Method == http.MethodHead {
		return false
	}
	return len(body) == 0 || isJSON(resp.Header) && !json.Valid(body)
}

// isJSON reports whether the content type is JSON.
func isJSON(h http.Header) bool {
	// A parameter that can't be parsed leaves the media type set.
	mediaType, _, _ := mime.ParseMediaType(h.Get("Content-Type"))
	return mediaType == "application/json" || strings.HasSuffix(mediaType, "+json")
}
