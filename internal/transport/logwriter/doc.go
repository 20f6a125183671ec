// Package logwriter writes log lines without making their writers wait.
package logwriter
