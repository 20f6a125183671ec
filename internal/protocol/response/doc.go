// Package response checks that the responses on a connection are sound HTTP/1.1 (RFC 9112), more strictly than net/http, which
// accepts what two readers could understand differently.
package response
