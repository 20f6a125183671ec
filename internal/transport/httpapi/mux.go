package httpapi

import "net/http"

// mux is a router for rest that uses the patterns of net/http, whose wildcards can span several segments.
type mux struct {
	*http.ServeMux
}

func newMux() mux {
	return mux{ServeMux: http.NewServeMux()}
}

// Handle registers the handler for a method and a path pattern.
func (m mux) Handle(method, path string, handler http.Handler) error {
	m.ServeMux.Handle(method+" "+path, handler)
	return nil
}

// SetNotFoundHandler does nothing; http.ServeMux answers 404 itself.
func (mux) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler does nothing; http.ServeMux answers 405 itself.
func (mux) SetNotAllowedHandler(http.Handler) {}
