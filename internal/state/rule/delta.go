package rule

import (
	"strings"

	"github.com/rotisserie/eris"

	"lagoongw/internal/protocol/wire"
)

// ErrEditOutOfRange is returned for an edit that does not fit the text it is applied to.
var ErrEditOutOfRange = eris.New("rule edit does not fit the file")

// Delta returns the edits that turn the old text into the new one, in descending order of their lines.
func Delta(before, after string) []wire.RuleEdit {
	from := SplitLines(before)
	to := SplitLines(after)
	head := 0
	for head < len(from) && head < len(to) && from[head] == to[head] {
		head++
	}
	tail := 0
	for tail < len(from)-head && tail < len(to)-head && from[len(from)-1-tail] == to[len(to)-1-tail] {
		tail++
	}
	if head == len(from) && head == len(to) {
		return nil
	}
	return []wire.RuleEdit{{
		At:     head,
		Delete: len(from) - head - tail,
		Insert: append([]string{}, to[head:len(to)-tail]...),
	}}
}

// Apply returns the text after the edits, or ErrEdit.
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

// Normalize returns the text with exactly one line end after each line.
func Normalize(text string) string {
	text = strings.ReplaceAll(text, "\r\n", "\n")
	lines := SplitLines(text)
	if len(lines) == 0 {
		return ""
	}
	return strings.Join(lines, "\n") + "\n"
}
