package callerapi

import (
	"bytes"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/resource"
	"github.com/merlinpost/merlinpost/internal/router"
	"github.com/merlinpost/merlinpost/internal/settings"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// service forwards a call to a service. Calls of services that are not idempotent
// need an idempotency key, so that a caller that got no response can retry.
func (a *API) service(x *exchange) *fault.Error {
	name := x.r.PathValue("service")
	s := x.view.Services[name]
	if s == nil {
		return fault.New(fault.UnknownService, "there is no service %q", name).WithField("service").WithOutcome(fault.NotRun)
	}
	key, e := x.idempotencyKey(name, s)
	if e != nil {
		return e
	}
	body, e := x.readBody()
	if e != nil {
		return e
	}
	x.startObservation()
	release, e := a.backend.Admit(x.r.Context(), x.teamName, x.team)
	if e != nil {
		return e
	}
	defer release()
	contentType := x.r.Header.Get("Content-Type")
	if contentType == "" {
		contentType = "application/octet-stream"
	}
	var response bytes.Buffer
	end, e := a.backend.Do(x.r.Context(), &router.Request{ID: x.id, Kind: wire.KindService, Endpoint: s.Path, Team: x.teamName,
		ClassName: x.className, Class: x.class, Pool: s.Pool, Target: name, MayRepeat: s.MayRepeat, IdempotencyKey: key,
		IdempotencyWindow: settings.Millis(s.KeyWindowMS), Body: body, MaxTokens: 1, ContentType: contentType},
		func(data []byte) error {
			x.observation.RecordToken(time.Now())
			response.Write(data)
			return nil
		})
	if e != nil {
		return e
	}
	x.w.Header().Set("Content-Type", end.ContentType)
	x.w.WriteHeader(end.Status)
	_, _ = x.w.Write(response.Bytes()) // an error means that the caller has disconnected
	return nil
}

// idempotencyKey returns the idempotency key, scoped to the service and team so
// that keys of different ones can't collide. It is empty for idempotent services.
func (x *exchange) idempotencyKey(service string, s *resource.Service) (string, *fault.Error) {
	if s.MayRepeat {
		return "", nil
	}
	key := x.r.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		return "", fault.New(fault.IdempotencyKeyRequired, "service %q is not idempotent: an idempotency key is required", service).
			WithField(HeaderIdempotencyKey).WithOutcome(fault.NotRun)
	}
	if len(key) > maxIdempotencyKeyBytes {
		return "", fault.New(fault.BadRequest, "the idempotency key has %d bytes, the limit is %d", len(key), maxIdempotencyKeyBytes).
			WithField(HeaderIdempotencyKey).WithOutcome(fault.NotRun)
	}
	return service + "\x00" + x.teamName + "\x00" + key, nil
}
