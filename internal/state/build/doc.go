// Package build holds the version of the program.
package build
