package httpapi

import (
	"net/http"

	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/chain"
)

// NewHandler returns an HTTP handler for the routes and sends go-zero's log lines to the logger. The caller serves it
// on a listener of its own, since rest shuts its server down by itself when the process receives a signal to stop.
func NewHandler(logger zerolog.Logger, routes []rest.Route) (http.Handler, error) {
	logx.DisableStat()
	config := rest.RestConf{}
	config.Name = "lagoongw"
	config.Mode = "pro"
	config.Log.Mode = "console"
	server, err := rest.NewServer(config, rest.WithRouter(newMux()), rest.WithChain(chain.New()))
	if err != nil {
		return nil, err
	}
	logx.SetWriter(logxWriter{logger: logger})
	if logger.GetLevel() > zerolog.DebugLevel {
		// Keeps go-zero from formatting lines that the logger would drop.
		logx.SetLevel(logx.ErrorLevel)
	}
	server.AddRoutes(routes)
	handler, err := rest.NewServerless(server)
	if err != nil {
		return nil, err
	}
	return http.HandlerFunc(handler.Serve), nil
}
