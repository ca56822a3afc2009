package upstream

import (
	"bytes"
	"errors"
	"strings"
)

// A response is valid if its version is 1.0 or 1.1, one space precedes its status of three
// digits from 100 to maxStatus, no line of its header is folded, its length fields agree, and
// no bytes that aren't another response follow it. Anything else is a failure of the server,
// after which the request may have run. net/http accepts more than that, and other programs
// read some of it differently.

// maxStatus is the highest status of a response.
const maxStatus = 599

var (
	// errInvalidHead means that the status line or header of a response is invalid.
	errInvalidHead = errors.New("invalid status line or header")
	// errBytesAfter means that bytes follow a response that aren't another one.
	errBytesAfter = errors.New("bytes after the end of the response")
	// errEndedEarly means that a response without length or chunks ended before the server
	// had the whole request.
	errEndedEarly = errors.New("response without length or chunks ended before the request")
)

const (
	// statusLineBytes is the length of a status line up to the status.
	statusLineBytes = len("HTTP/1.1 200")
	// maxFieldName is the length of the longest name of a field that headCheck looks for.
	maxFieldName = len("Transfer-Encoding")
)

// headCheck checks the bytes of one status line and header as they arrive, and stops at the
// empty line at their end.
type headCheck struct {
	// line is the start of the current line, and length the number of its bytes so far.
	line   [maxFieldName + 1]byte
	length int
	// pastStatus means that the status line has been read, and done that the header has.
	pastStatus, done     bool
	hasLength, hasCoding bool
	// invalid is the fault that was found; it stays, as a bufio.Reader may drop an error once.
	invalid error
}

// write checks bytes that follow those before. The error is errInvalidHead.
func (h *headCheck) write(p []byte) error {
	for len(p) > 0 && !h.done && h.invalid == nil {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.addToLine(p)
			return nil
		}
		h.addToLine(p[:end])
		p = p[end+1:]
		h.invalid = h.endLine()
	}
	return h.invalid
}

// addToLine adds bytes to the current line, of which only the start is kept.
func (h *headCheck) addToLine(p []byte) {
	if h.length < len(h.line) {
		copy(h.line[h.length:], p)
	}
	h.length += len(p)
}

// endLine checks the current line and begins the next one.
func (h *headCheck) endLine() error {
	line := h.line[:min(h.length, len(h.line))]
	h.length = 0
	if !h.pastStatus {
		h.pastStatus = true
		if !isStatusLine(line) {
			return errInvalidHead
		}
		return nil
	}
	if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
		h.done = true
		return nil
	}
	if line[0] == ' ' || line[0] == '\t' {
		return errInvalidHead // folded
	}
	name, _, found := bytes.Cut(line, []byte(":"))
	if bytes.ContainsAny(name, " \t") {
		return errInvalidHead
	}
	h.hasLength = h.hasLength || found && strings.EqualFold(string(name), "Content-Length")
	h.hasCoding = h.hasCoding || found && strings.EqualFold(string(name), "Transfer-Encoding")
	if h.hasLength && h.hasCoding {
		return errInvalidHead
	}
	return nil
}

// isStatusLine reports whether a line, of which only the start may be given, is valid.
func isStatusLine(line []byte) bool {
	line = bytes.TrimSuffix(line, []byte("\r"))
	if len(line) < statusLineBytes || !bytes.HasPrefix(line, []byte("HTTP/1.0 ")) && !bytes.HasPrefix(line, []byte("HTTP/1.1 ")) {
		return false
	}
	status := line[statusLineBytes-3 : statusLineBytes]
	for _, digit := range status {
		if digit < '0' || digit > '9' {
			return false
		}
	}
	return status[0] >= '1' && status[0] <= '5' && (len(line) == statusLineBytes || line[statusLineBytes] == ' ')
}

// isResponseStart reports whether bytes may be the start of another response.
func isResponseStart(p []byte) bool {
	const start = "HTTP/1."
	n := min(len(p), len(start))
	return string(p[:n]) == start[:n]
}
