// Package caller implements the HTTP API for callers: entry VM addresses, chat completions, plain services,
// idempotency keys, and request status.
package caller
