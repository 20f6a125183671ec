// Package engine simulates one replica of a language model: it generates tokens for a batch of requests, prefills
// prompts in chunks between the decode steps, and keeps prompt parts in a cache. The cache and the running requests
// share the engine's memory, which stands for the KV cache of a real engine.
package engine
