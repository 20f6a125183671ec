// Package upstream sends requests to upstreams and reports whether a failed request may have reached its upstream.
package upstream
