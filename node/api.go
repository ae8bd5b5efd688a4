package node

import (
	"net/http"
	"time"

	goahttp "goa.design/goa/v3/http"

	"github.com/vanillaroad/vanillaroad/callers"
	genconfirmations "github.com/vanillaroad/vanillaroad/gen/confirmations"
	gendirectory "github.com/vanillaroad/vanillaroad/gen/directory"
	gengenerations "github.com/vanillaroad/vanillaroad/gen/generations"
	confirmationsserver "github.com/vanillaroad/vanillaroad/gen/http/confirmations/server"
	directoryserver "github.com/vanillaroad/vanillaroad/gen/http/directory/server"
	generationsserver "github.com/vanillaroad/vanillaroad/gen/http/generations/server"
	operationsserver "github.com/vanillaroad/vanillaroad/gen/http/operations/server"
	genoperations "github.com/vanillaroad/vanillaroad/gen/operations"
)

// headerTimeout bounds how long a caller may take to send the headers of a request.
const headerTimeout = 5 * time.Second

// Size limits of one request.
const (
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 8 << 20
)

// newServer returns an HTTP server with the goa services and the metrics endpoint.
func (n *Node) newServer() *http.Server {
	mux := goahttp.NewMuxer()
	dec, enc := requestDecoder, goahttp.ResponseEncoder
	directoryserver.Mount(mux, directoryserver.New(gendirectory.NewEndpoints(&directoryAPI{n}), mux, dec, enc, nil, nil))
	generationsserver.Mount(mux, generationsserver.New(gengenerations.NewEndpoints(&generationsAPI{n}), mux, dec, enc, nil, nil))
	confirmationsserver.Mount(mux, confirmationsserver.New(genconfirmations.NewEndpoints(&confirmationsAPI{n}), mux, dec, enc, nil, nil))
	operationsserver.Mount(mux, operationsserver.New(genoperations.NewEndpoints(&operationsAPI{n}), mux, dec, enc, nil, nil))
	mux.Handle(http.MethodGet, "/metrics", n.serveMetrics)
	return &http.Server{
		Handler: n.withBody(n.withAnswer(n.withLimits(mux))), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: n.conns.ConnState, ConnContext: callers.ConnContext,
	}
}

// withLimits counts the requests that were read and are being served, for which a planned stop
// waits, and sets deadlines for writes of the response.
func (n *Node) withLimits(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.requests.Add(1)
		defer n.requests.Add(-1)
		writer := newDeadlineWriter(w)
		next.ServeHTTP(writer, r.WithContext(withWriter(r.Context(), writer)))
	})
}
