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

const ownerOfModels = "tarragonwheel"

// generated implements the services of the goa design.
type generated struct {
	srv *Server
}

type accountKey struct{}

// mountGenerated adds the generated handlers to mux.
func (srv *Server) mountGenerated(mux goahttp.Muxer) {
	gen := generated{srv: srv}
	encodeFailed := func(_ context.Context, _ http.ResponseWriter, err error) {
		srv.Log.V(1).Info("edge: answer not sent", "error", err.Error())
	}
	format := func(_ context.Context, err error) goahttp.Statuser { //nolint:misspell // Name of goa.
		ref := asRefusal(err)
		srv.Metrics.Refusal(ref.code)
		return ref.body()
	}
	dec, enc := goahttp.RequestDecoder, goahttp.ResponseEncoder
	modelsserver.New(models.NewEndpoints(gen), mux, dec, enc, encodeFailed, format).Mount(mux)
	healthserver.New(health.NewEndpoints(gen), mux, dec, enc, encodeFailed, format).Mount(mux)
}

// JWTAuth implements the authorization of the generated service. The token is an account's key.
func (gen generated) JWTAuth(ctx context.Context, token string, _ *security.JWTScheme) (context.Context, error) {
	account, ok := gen.srv.Secrets.Account(token)
	if !ok {
		return ctx, badRequest(http.StatusUnauthorized, CodeUnknownKey, "unknown bearer key")
	}
	return context.WithValue(ctx, accountKey{}, account), nil
}

// List implements models.Service.
func (gen generated) List(ctx context.Context, _ *models.ListPayload) (*models.ModelList, error) {
	account, _ := ctx.Value(accountKey{}).(string)
	list := &models.ModelList{Object: "list", Data: []*models.Model{}}
	for _, name := range gen.srv.Models(account) {
		list.Data = append(list.Data, &models.Model{ID: name, Object: "model", OwnedBy: ownerOfModels})
	}
	return list, nil
}

// Live implements health.Service.
func (generated) Live(context.Context) error { return nil }

// Ready implements health.Service.
func (gen generated) Ready(context.Context) error {
	if gen.srv.Ready() {
		return nil
	}
	return badRequest(http.StatusServiceUnavailable, CodeNotReady, "no healthy agent is connected")
}
