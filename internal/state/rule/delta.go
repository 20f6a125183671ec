package rule

import (
	"strings"

	"github.com/rotisserie/eris"

	"lagoongw/internal/protocol/wire"
)

// ErrEditOutOfRange is returned for an edit whose lines lie outside the text that it is applied to.
var ErrEditOutOfRange = eris.New("rule edit refers to lines outside the file")

// Delta returns the edits that turn the text before into the text after, in descending order of their lines: none if
// the lines are equal, otherwise a single edit.
func Delta(before, after string) []wire.RuleEdit {
	from := SplitLines(before)
	to := SplitLines(after)
	prefix := 0
	for prefix < len(from) && prefix < len(to) && from[prefix] == to[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < len(from)-prefix && suffix < len(to)-prefix && from[len(from)-1-suffix] == to[len(to)-1-suffix] {
		suffix++
	}
	if prefix == len(from) && prefix == len(to) {
		return nil
	}
	return []wire.RuleEdit{{
		At:     prefix,
		Delete: len(from) - prefix - suffix,
		Insert: append([]string{}, to[prefix:len(to)-suffix]...),
	}}
}

// Apply returns the text after the edits, applied in order, or ErrEditOutOfRange.
func Apply(text string, edits []wire.RuleEdit) (string, error) {
	lines := SplitLines(text)
	for _, edit := range edits {
		if edit.At < 0 || edit.Delete < 0 || edit.At > len(lines) || edit.Delete > len(lines)-edit.At {
			return "", ErrEditOutOfRange
		}
		rest := lines[edit.At+edit.Delete:]
		next := make([]string, 0, len(lines)-edit.Delete+len(edit.Insert))
		next = append(next, lines[:edit.At]...)
		next = append(next, edit.Insert...)
		next = append(next, rest...)
		lines = next
	}
	if len(lines) == 0 {
		return "", nil
	}
	return strings.Join(lines, "\n") + "\n", nil
}

// Normalize returns the text with each line, also the last one, terminated by a single LF.
func Normalize(text string) string {
	text = strings.ReplaceAll(text, "\r\n", "\n")
	lines := SplitLines(text)
	if len(lines) == 0 {
		return ""
	}
	return strings.Join(lines, "\n") + "\n"
}
