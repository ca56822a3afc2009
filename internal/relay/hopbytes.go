package relay

import (
	"net/http"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/joomcode/errorx"
)

// encodeBytes makes the head fit for JSON if texts of the caller's request aren't UTF-8.
func (h *hopHead) encodeBytes() {
	if h.isUTF8() {
		return
	}
	h.BytesAsRunes = true
	h.editTexts(func(text string) string {
		var out strings.Builder
		for i := range len(text) {
			out.WriteRune(rune(text[i]))
		}
		return out.String()
	})
}

// isUTF8 reports whether all texts of the caller's request are UTF-8.
func (h *hopHead) isUTF8() bool {
	for name, values := range h.Header {
		if !utf8.ValidString(name) || slices.ContainsFunc(values, isNotUTF8) {
			return false
		}
	}
	return !slices.ContainsFunc([]string{h.ID, h.Host, h.Method, h.Target, h.Path, h.LastEventID}, isNotUTF8)
}

func isNotUTF8(text string) bool { return !utf8.ValidString(text) }

// decodeBytes undoes encodeBytes. The error reports a rune that is no byte.
func (h *hopHead) decodeBytes() error {
	if !h.BytesAsRunes {
		return nil
	}
	var err error
	h.editTexts(func(text string) string {
		out := make([]byte, 0, len(text))
		for _, r := range text {
			if r > 0xff {
				err = errorx.IllegalFormat.New("hop with the rune %U in place of a byte", r)
			}
			out = append(out, byte(r))
		}
		return string(out)
	})
	return err
}

// editTexts replaces each text of the caller's request.
func (h *hopHead) editTexts(edit func(string) string) {
	for _, text := range []*string{&h.ID, &h.Host, &h.Method, &h.Target, &h.Path, &h.LastEventID} {
		*text = edit(*text)
	}
	header := make(http.Header, len(h.Header))
	for name, values := range h.Header {
		edited := make([]string, len(values))
		for i, value := range values {
			edited[i] = edit(value)
		}
		header[edit(name)] = edited
	}
	h.Header = header
}
