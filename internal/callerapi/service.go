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

// service passes a call on to a plain service. A call that may not be repeated
// needs an idempotency key, so that a caller who got no answer can ask again.
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
	body, e := x.body()
	if e != nil {
		return e
	}
	x.startObserving()
	release, e := a.backend.Admit(x.r.Context(), x.teamName, x.team)
	if e != nil {
		return e
	}
	defer release()
	contentType := x.r.Header.Get("Content-Type")
	if contentType == "" {
		contentType = "application/octet-stream"
	}
	var answer bytes.Buffer
	end, e := a.backend.Do(x.r.Context(), &router.Request{ID: x.id, Kind: wire.KindService, Endpoint: s.Path, Team: x.teamName,
		ClassName: x.className, Class: x.class, Pool: s.Pool, Target: name, MayRepeat: s.MayRepeat, IdempotencyKey: key,
		IdempotencyWindow: settings.Millis(s.KeyWindowMS), Body: body, MaxTokens: 1, ContentType: contentType},
		func(data []byte) error {
			x.observe.Token(time.Now())
			answer.Write(data)
			return nil
		})
	if e != nil {
		return e
	}
	x.w.Header().Set("Content-Type", end.ContentType)
	x.w.WriteHeader(end.Status)
	_, _ = x.w.Write(answer.Bytes()) // a caller that went away is its own matter
	return nil
}

// idempotencyKey returns the key, scoped so that teams and services can't meet.
func (x *exchange) idempotencyKey(service string, s *resource.Service) (string, *fault.Error) {
	if s.MayRepeat {
		return "", nil
	}
	key := x.r.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		return "", fault.New(fault.IdempotencyKeyRequired, "calls of service %q may not be repeated: a key is needed", service).
			WithField(HeaderIdempotencyKey).WithOutcome(fault.NotRun)
	}
	if len(key) > maxKeyLength {
		return "", fault.New(fault.BadRequest, "the key has %d characters, at most %d", len(key), maxKeyLength).
			WithField(HeaderIdempotencyKey).WithOutcome(fault.NotRun)
	}
	return service + "\x00" + x.teamName + "\x00" + key, nil
}
