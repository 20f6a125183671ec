package response

import (
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Framings of a body whose length is not known.
const (
	untilEnd = -1
	chunked  = -2
)

const (
	minStatus = 100
	maxStatus = 599
	// maxQuotedBytes limits what an error quotes of a response.
	maxQuotedBytes = 40
)

// head is what the lines of a head have told so far.
type head struct {
	status  int
	version string
	// lengths and codings are the values of Content-Length and Transfer-Encoding.
	lengths, codings []string
}

// readStatus reads the status line. Unlike net/http it allows no other version than 1.x, and no status that HTTP doesn't have.
func (h *head) readStatus(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, found := strings.Cut(rest, " ")
	if !found || !httpguts.ValidHeaderFieldValue(reason) {
		return unsound("status line %s", quote(line))
	}
	minor, found := strings.CutPrefix(version, "HTTP/1.")
	if _, err := strconv.ParseUint(minor, 10, 63); !found || err != nil || len(minor) != 1 {
		return unsound("version %s", quote(version))
	}
	status, err := strconv.ParseUint(code, 10, 63)
	if err != nil || len(code) != 3 || status < minStatus || status > maxStatus {
		return unsound("status %s", quote(code))
	}
	if status == http.StatusSwitchingProtocols {
		return unsound("status 101 to a request that asks for no other protocol")
	}
	h.status, h.version = int(status), version
	return nil
}

// readField reads a field line. Unlike net/http it allows no blank in the name, and no value that goes on in the next line.
func (h *head) readField(line string) error {
	name, value, err := parseField(line)
	if err != nil {
		return err
	}
	switch {
	case strings.EqualFold(name, "Content-Length"):
		h.lengths = append(h.lengths, value)
	case strings.EqualFold(name, "Transfer-Encoding"):
		h.codings = append(h.codings, value)
	}
	return nil
}

// parseField splits a field line into its name and its value. An error doesn't quote the value, which may be confidential.
func parseField(line string) (name, value string, err error) {
	name, value, found := strings.Cut(line, ":")
	switch {
	case !found:
		return "", "", unsound("field line without a colon")
	case !httpguts.ValidHeaderFieldName(name):
		return "", "", unsound("field name %s", quote(name))
	case !httpguts.ValidHeaderFieldValue(value):
		return "", "", unsound("control byte in the value of field %s", quote(name))
	}
	return name, strings.Trim(value, " \t"), nil
}

// checkTrailer checks a field line after the last chunk.
func checkTrailer(line string) error {
	var trailer head
	if err := trailer.readField(line); err != nil {
		return err
	}
	if len(trailer.lengths)+len(trailer.codings) > 0 {
		return unsound("trailer that frames the body")
	}
	return nil
}

// interim reports whether another response follows.
func (h *head) interim() bool { return h.status < http.StatusOK }

// bodyless reports whether the status allows no body.
func (h *head) bodyless() bool {
	return h.status == http.StatusNoContent || h.status == http.StatusNotModified
}

// framing returns the length of the body in bytes, chunked or untilEnd.
func (h *head) framing() (int64, error) {
	switch {
	case len(h.codings) > 0 && len(h.lengths) > 0:
		return 0, unsound("both a length and a transfer coding")
	case len(h.codings) > 0:
		return chunked, h.checkCoding()
	case len(h.lengths) > 0:
		return h.length()
	}
	return untilEnd, nil
}

func (h *head) checkCoding() error {
	switch {
	case len(h.codings) > 1 || !strings.EqualFold(h.codings[0], "chunked"):
		return unsound("transfer coding %s", quote(strings.Join(h.codings, ", ")))
	case h.version == "HTTP/1.0":
		return unsound("transfer coding in a response of HTTP/1.0")
	case h.interim() || h.status == http.StatusNoContent:
		return unsound("transfer coding in a response that has no body")
	}
	return nil
}

// length returns the length of the body in bytes. It may be given more than once, but not differently.
func (h *head) length() (int64, error) {
	first := h.lengths[0]
	for _, other := range h.lengths {
		if other != first {
			return 0, unsound("lengths %s and %s", quote(first), quote(other))
		}
	}
	length, err := strconv.ParseUint(first, 10, 63)
	if err != nil {
		return 0, unsound("length %s", quote(first))
	}
	return int64(length), nil
}

const (
	token        = "[-!#$%&'*+.^_`|~0-9A-Za-z]+"
	quotedString = `"([^\x00-\x08\x0a-\x1f\x7f"\\]|\\[^\x00-\x08\x0a-\x1f\x7f])*"`
)

// chunkExtensions are those that a line with the size of a chunk may have (RFC 9112, section 7.1.1).
var chunkExtensions = regexp.MustCompile("^(;" + token + "(=(" + token + "|" + quotedString + "))?)+$")

// parseChunkLine returns the size of a chunk in bytes.
func parseChunkLine(line string) (int64, error) {
	digits, extensions := line, ""
	if at := strings.IndexByte(line, ';'); at >= 0 {
		digits, extensions = line[:at], line[at:]
	}
	size, err := strconv.ParseUint(digits, 16, 63)
	if err != nil {
		return 0, unsound("chunk size %s", quote(digits))
	}
	if extensions != "" && !chunkExtensions.MatchString(extensions) {
		return 0, unsound("chunk extension %s", quote(extensions))
	}
	return int64(size), nil
}

// quote quotes the beginning of a text.
func quote(text string) string { return strconv.Quote(text[:min(len(text), maxQuotedBytes)]) }
