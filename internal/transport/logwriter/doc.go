// Package logwriter writes log lines in the background, so that logging never blocks.
package logwriter
