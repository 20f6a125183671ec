// Package event splits a text/event-stream into complete events (WHATWG HTML, section 9.2).
package event
