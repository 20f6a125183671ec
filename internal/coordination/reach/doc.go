// Package reach decides how a node connects to an upstream: directly, or through another node where its own path to the upstream
// is broken. That a connect fails doesn't tell whether the path or the upstream is at fault; that another node reaches the
// upstream does.
package reach
