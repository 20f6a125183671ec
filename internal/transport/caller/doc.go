// Package caller serves the callers: entry answers, chat completions, plain services, and what became of a request.
package caller
