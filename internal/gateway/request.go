package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/notice"
	"github.com/merlinpost/merlinpost/internal/quarantine"
	"github.com/merlinpost/merlinpost/internal/retrybudget"
	"github.com/merlinpost/merlinpost/internal/routing"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// answerGrace is how much longer than its deadline a request is held, so that an answer
// that its server gives at the deadline is still delivered.
const answerGrace = 120 * time.Millisecond

// request is one attempt of a caller on its way through the gateway.
type request struct {
	call     RequestInfo
	table    *routing.Table
	route    *routing.Route
	team     *routing.Team
	service  string
	method   string
	target   string
	host     string
	header   http.Header
	body     []byte
	hasBody  bool
	reserved int64 // bytes that the body takes of the room for bodies
	start    time.Time
	deadline time.Time // when the caller or the route gives up
	priority int
	sends    []send
	// repeat is the most recent decision of the retry budget, made at repeatAt.
	repeat   retrybudget.Decision
	repeatAt time.Time
	asks     int // for leave, so far
	// standing is what was known of the service's servers when one was chosen.
	standing []notice.ActiveNotice
	// identity is set when it is first asked for; see id.
	identity *quarantine.ID
}

// id returns what tells this request from others, whichever attempt it is.
func (q *request) id() quarantine.ID {
	if q.identity == nil {
		id := quarantine.Identify(q.teamName(), q.method, q.host, q.target, q.body)
		q.identity = &id
	}
	return *q.identity
}

// send is one try to have the request run.
type send struct {
	Server           string        `json:"server"`
	Reason           string        `json:"reason"` // why the server was chosen
	FetchFrom        string        `json:"fetch,omitempty"`
	Result           string        `json:"result"`
	Cause            string        `json:"cause,omitempty"`
	Wait             time.Duration `json:"wait,omitempty"`   // that who decides expects
	ExpectedPrefill  time.Duration `json:"expect,omitempty"` // of the time to the first event, by what was learnt
	TimeToFirstEvent time.Duration `json:"first,omitempty"`  // the time to the first event
	// Limited is how many servers took nothing by the rates that they state, where that was refused.
	RateLimited  int           `json:"limited,omitempty"`
	Running      int           `json:"running"`
	UnreadTokens int64         `json:"unread"`
	LongestGap   time.Duration `json:"longest,omitempty"` // pause between two events
	SentAfter    time.Duration `json:"at"`                // since the request came
	Took         time.Duration `json:"took"`              // until the answer's head or the failure
	// Ended is whether the server has ended, where its connection broke.
	ServerExited bool `json:"ended,omitempty"`
	// Said is what the server said of itself, nil for nothing.
	Notices *notice.Statement `json:"said,omitempty"`
	// Repeat is the retry budget's decision on repeating this send, nil if the budget was not consulted.
	Repeat *retrybudget.Decision `json:"repeat,omitempty"`
}

// lastSent returns the most recent entry that names a server, or a new empty entry if there is none.
func (q *request) lastSent() *send {
	for i := len(q.sends) - 1; i >= 0; i-- {
		if q.sends[i].Server != "" {
			return &q.sends[i]
		}
	}
	return &send{}
}

// repeatDenied reports whether the retry budget denied a repeat of the last send.
func (q *request) repeatDenied() bool {
	d := q.lastSent().Repeat
	return d != nil && !d.Granted
}

// sharedPart returns the ID of the prompt part that placement goes by.
func (q *request) sharedPart() string {
	id, _ := q.call.Prompt.Shared()
	return id
}

// teamName returns the team's name, empty for a caller without a key.
func (q *request) teamName() string {
	if q.team == nil {
		return ""
	}
	return q.team.Name
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	defer g.logFailed()
	if closeAfter(r) || g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	q, err := g.admit(r, g.now())
	defer g.release(q)
	if err != nil {
		g.refuse(w, q, err)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), q.deadline.Add(answerGrace), errDeadline)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer context.AfterFunc(g.ending, func() { end(errEnding) })()
	g.serve(ctx, w, q)
}

// Causes of a request's context that ended without the caller's doing: at its
// deadline, and at the end of the process's grace time.
var (
	errDeadline = errors.New("the deadline has passed")
	errEnding   = errors.New("the gateway is ending")
)

// admit finds the request's route and team and reads its body. Errors are typed
// and mean that nothing has run. The returned request is never nil.
func (g *Gateway) admit(r *http.Request, start time.Time) (*request, error) {
	q := &request{start: start, method: r.Method, host: r.Host, header: r.Header, target: r.RequestURI}
	if !strings.HasPrefix(q.target, "/") {
		q.target = r.URL.RequestURI()
	}
	q.table = g.table.Load()
	if q.table == nil {
		return q, fault.New(fault.NotReady, "no configuration is known yet").WithOutcome(fault.NotRun).WithRetryAfter(startRetryAfter)
	}
	if err := checkHead(r, q.table.Limits.HeaderBytes); err != nil {
		return q, err
	}
	call, err := g.dialect.ParseRequest(r.Header)
	q.call = call
	if err != nil {
		return q, err
	}
	path, _, _ := strings.Cut(q.target, "?")
	if q.route = q.table.Route(r.Host, path); q.route == nil {
		return q, fault.New(fault.NotFound, "no route for this host and path").WithOutcome(fault.NotRun)
	}
	if q.team, err = q.table.Authenticate(q.route, call.APIKey); err != nil {
		return q, err
	}
	q.setTerms(call)
	return q, g.readBody(q, r)
}

// setTerms works out the deadline, priority and service.
func (q *request) setTerms(call RequestInfo) {
	left := q.route.Timeout
	if call.Deadline > 0 {
		left = min(left, call.Deadline)
	}
	q.deadline = q.start.Add(left)
	q.priority = q.route.Priority
	if q.team != nil && q.team.Priority != nil {
		q.priority = *q.team.Priority
	}
	q.service = q.route.Service(xxhash.Sum64String(call.ID))
}

// serve has the request run and relays the answer.
func (g *Gateway) serve(ctx context.Context, w http.ResponseWriter, q *request) {
	g.budget(q.service).Request(g.now())
	rel := &relay{w: w}
	err := g.run(ctx, q, rel)
	switch {
	case err == nil:
		g.finished(q, rel)
	case rel.started:
		g.broken(q, rel, err)
		// The only way to tell the caller that the answer is not whole.
		panic(http.ErrAbortHandler)
	default:
		g.refuse(w, q, err)
	}
	telemetry.ObserveDuration("merlinpost_gateway_request_seconds", g.now().Sub(q.start), "team", q.teamName(), "class", q.route.Name)
}
