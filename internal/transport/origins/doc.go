// Package origins tells other nodes where the streams of this one began, and asks them for the origins of streams that
// callers take up here.
package origins
