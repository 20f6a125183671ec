// Package caller implements the HTTP API for callers: entry VM addresses, chat completions, plain services (those that
// are not engines), idempotency keys, and request status.
package caller
