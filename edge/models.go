package edge

import (
	"context"
	"net/http"

	goahttp "goa.design/goa/v3/http"
	"goa.design/goa/v3/security"

	"github.com/tarragonwheel/tarragonwheel/gen/health"
	healthserver "github.com/tarragonwheel/tarragonwheel/gen/http/health/server"
	modelsserver "github.com/tarragonwheel/tarragonwheel/gen/http/models/server"
	"github.com/tarragonwheel/tarragonwheel/gen/models"
)

const modelOwner = "tarragonwheel"

// generatedServices implements the services that goa generates from package design.
type generatedServices struct {
	srv *Server
}

// accountContextKey is the context key of the name of the authenticated account.
type accountContextKey struct{}

// mountGenerated mounts the handlers that goa generates on mux.
func (srv *Server) mountGenerated(mux goahttp.Muxer) {
	gen := generatedServices{srv: srv}
	encodeFailed := func(_ context.Context, _ http.ResponseWriter, err error) {
		srv.Log.V(1).Info("edge: writing a response failed", "error", err.Error())
	}
	format := func(_ context.Context, err error) goahttp.Statuser { //nolint:misspell // Name of goa.
		ref := asRefusal(err)
		srv.Metrics.CountRefusal(ref.code)
		return ref.body()
	}
	dec, enc := goahttp.RequestDecoder, goahttp.ResponseEncoder
	modelsserver.New(models.NewEndpoints(gen), mux, dec, enc, encodeFailed, format).Mount(mux)
	healthserver.New(health.NewEndpoints(gen), mux, dec, enc, encodeFailed, format).Mount(mux)
}

// JWTAuth authenticates a call for the generated endpoints. The token is the bearer key of a client account, not a JWT.
func (gen generatedServices) JWTAuth(
	ctx context.Context, token string, _ *security.JWTScheme,
) (context.Context, error) {
	account, ok := gen.srv.Secrets.Account(token)
	if !ok {
		return ctx, newRefusal(http.StatusUnauthorized, CodeUnknownKey, "unknown bearer key")
	}
	return context.WithValue(ctx, accountContextKey{}, account), nil
}

// List implements models.Service.
func (gen generatedServices) List(ctx context.Context, _ *models.ListPayload) (*models.ModelList, error) {
	account, _ := ctx.Value(accountContextKey{}).(string)
	list := &models.ModelList{Object: "list", Data: []*models.Model{}}
	for _, name := range gen.srv.Models(account) {
		list.Data = append(list.Data, &models.Model{ID: name, Object: "model", OwnedBy: modelOwner})
	}
	return list, nil
}

// Live implements health.Service.
func (generatedServices) Live(context.Context) error { return nil }

// Ready implements health.Service.
func (gen generatedServices) Ready(context.Context) error {
	if gen.srv.Ready() {
		return nil
	}
	return newRefusal(http.StatusServiceUnavailable, CodeNotReady, "no healthy agent is connected")
}
