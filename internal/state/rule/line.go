package rule

import (
	"fmt"
	"strings"
)

// Limits on the size of a rule file.
const (
	MaxLineBytes = 2048
	MaxFileBytes = 8 << 20
)

// Problem is an error in a rule file. Line counts from 1; it is 0 for a problem of the whole file.
type Problem struct {
	Line   int
	Field  string
	Reason string
}

// Error returns the line, the field if there is one, and the reason.
func (p Problem) Error() string {
	if p.Field == "" {
		return fmt.Sprintf("line %d: %s", p.Line, p.Reason)
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Field, p.Reason)
}

type field struct {
	key   string
	value string
}

type line struct {
	number  int
	fields  []field
	comment string
}

// splitLine splits a line into its fields and its trailing comment.
func splitLine(number int, text string) (line, []Problem) {
	parsed := line{number: number}
	if len(text) > MaxLineBytes {
		return parsed, []Problem{{Line: number, Reason: fmt.Sprintf("longer than %d bytes", MaxLineBytes)}}
	}
	body, comment, found := strings.Cut(text, "#")
	parsed.comment = strings.TrimSpace(comment)
	var problems []Problem
	if !found || parsed.comment == "" {
		problems = append(problems, Problem{
			Line:   number,
			Field:  "comment",
			Reason: "expected `# who asked for this` at the end of the line",
		})
	}
	seen := map[string]bool{}
	for _, word := range strings.Fields(body) {
		key, value, ok := strings.Cut(word, "=")
		switch {
		case !ok || key == "" || value == "":
			problems = append(problems, Problem{Line: number, Field: word, Reason: "expected key=value"})
		case seen[key]:
			problems = append(problems, Problem{Line: number, Field: key, Reason: "duplicate field"})
		default:
			seen[key] = true
			parsed.fields = append(parsed.fields, field{key: key, value: value})
		}
	}
	return parsed, problems
}
