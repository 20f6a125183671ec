package httpapi

import "net/http"

// mux lets rest route by the patterns of net/http, which know wildcards that span segments.
type mux struct {
	*http.ServeMux
}

func newMux() mux {
	return mux{ServeMux: http.NewServeMux()}
}

// Handle registers a handler.
func (m mux) Handle(method, path string, handler http.Handler) error {
	m.ServeMux.Handle(method+" "+path, handler)
	return nil
}

// SetNotFoundHandler changes nothing; net/http answers 404 itself.
func (mux) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler changes nothing; net/http answers 405 itself.
func (mux) SetNotAllowedHandler(http.Handler) {}
