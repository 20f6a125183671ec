// Package upstream sends requests to upstreams and reports whether a failed request may have reached its upstream. It
// also fetches load reports and sends placement orders to engines.
package upstream
