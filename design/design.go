// Package design describes the HTTP API for callers for the goa generator.
//
// Only calls with a single JSON response are generated. Completions and calls to plain services are not part of the
// design: goa's transport can express neither server-sent events in the framing that clients of language models expect,
// nor a call whose method, path and body are passed through unparsed. Package edge adds them to the same muxer as
// net/http handlers.
package design

import . "goa.design/goa/v3/dsl" //nolint:revive // The design language is made for dot imports.

//go:generate /root/go/bin/goa gen github.com/tarragonwheel/tarragonwheel/design -o ..

var _ = API("tarragonwheel", func() {
	Title("Callers' interface")
})

// Bearer is the security scheme of the API: the key of a client account as a bearer token.
var Bearer = JWTSecurity("bearer", func() {
	Description("Key of a client account in the Authorization header.")
})

// Model is an entry of the list of models.
var Model = Type("Model", func() {
	Attribute("id", String, "Name of the model")
	Attribute("object", String, "Always \"model\"")
	Attribute("created", Int64, "Always 0: models carry no date")
	Attribute("owned_by", String, "Always \"tarragonwheel\"")
	Required("id", "object", "created", "owned_by")
})

// ModelList is the response to a call for the list of models.
var ModelList = Type("ModelList", func() {
	Attribute("object", String, "Always \"list\"")
	Attribute("data", ArrayOf(Model), "Models that the account may use")
	Required("object", "data")
})

var _ = Service("models", func() {
	Method("list", func() {
		Security(Bearer)
		Payload(func() {
			Token("token", String, "Key of a client account")
		})
		Result(ModelList)
		HTTP(func() {
			GET("/v1/models")
			Response(StatusOK)
		})
	})
})

var _ = Service("health", func() {
	Method("live", func() {
		Description("Answers while the process runs.")
		HTTP(func() {
			GET("/healthz")
			Response(StatusOK)
		})
	})
	Method("ready", func() {
		Description("Answers without an error while at least one healthy agent can be given work.")
		HTTP(func() {
			GET("/readyz")
			Response(StatusOK)
		})
	})
})
