// Package engine simulates one replica of a language model: it generates tokens for a batch of requests, prefills
// prompts in chunks between the decode steps, and has a KV cache that running requests and cached prompt parts share.
package engine
