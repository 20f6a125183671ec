package httpapi

import (
	"net/http"

	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/chain"
)

// NewHandler returns one HTTP handler for the routes; rest is not given the listener, since its own shutdown would cut it.
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
	logx.SetWriter(bridge{logger: logger})
	if logger.GetLevel() > zerolog.DebugLevel {
		// Lines that nobody will see are not even made.
		logx.SetLevel(logx.ErrorLevel)
	}
	server.AddRoutes(routes)
	handler, err := rest.NewServerless(server)
	if err != nil {
		return nil, err
	}
	return http.HandlerFunc(handler.Serve), nil
}
