// Package schedule runs work periodically, after a pause or in the background, until a context ends or the work is stopped.
package schedule
