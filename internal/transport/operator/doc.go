// Package operator serves the operators: rule files, status, drain and metrics, all behind the operator token.
package operator
