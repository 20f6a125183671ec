// Package operator serves the HTTP API for operators: rule files, status, drain and metrics. Each call needs the
// operator token.
package operator
