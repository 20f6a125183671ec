// Package admission queues requests before a pool by tier, starts them, and refuses what cannot be served.
package admission
