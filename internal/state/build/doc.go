// Package build tells which version of the program this is.
package build
