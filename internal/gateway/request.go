package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/merlinpost/merlinpost/internal/exchange"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/notice"
	"github.com/merlinpost/merlinpost/internal/quarantine"
	"github.com/merlinpost/merlinpost/internal/responseguard"
	"github.com/merlinpost/merlinpost/internal/retrybudget"
	"github.com/merlinpost/merlinpost/internal/routing"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// deadlineGrace is the time for which a request's context outlives its deadline, so that a
// response that the server sends at the deadline is still delivered.
const deadlineGrace = 120 * time.Millisecond

// request is the state of one caller attempt in the gateway.
type request struct {
	info          RequestInfo
	conn          *callerConn // nil if the request was not received by Serve
	table         *routing.Table
	route         *routing.Route
	team          *routing.Team
	service       string
	method        string
	target        string
	host          string
	header        http.Header
	body          []byte
	hasBody       bool
	reservedBytes int64 // bytes reserved for the body; see growBody
	start         time.Time
	receivedAt    time.Time // when the whole request had been received, zero before that
	deadline      time.Time // the caller's deadline or the route's timeout, whichever is earlier
	priority      int
	sends         []sendRecord
	attempt       exchange.Attempt
	// retryDecision is the most recent decision of the retry budget, made at retryDecidedAt.
	retryDecision      retrybudget.Decision
	retryDecidedAt     time.Time
	permitRequestCount int // number of permit requests so far
	// knownNotices are the notices that were in force for the service's servers when a server was last chosen.
	knownNotices []notice.ActiveNotice
	// cachedQuarantineID caches the result of quarantineID.
	cachedQuarantineID *quarantine.ID
	// cachedParts caches the result of quarantineParts; it is nil before the first call.
	cachedParts []quarantine.Part
	// quarantinedPart is the part of the prompt because of which the request was refused, or nil.
	quarantinedPart *quarantinedPart
}

// quarantineID returns an identifier that is the same for all attempts of a request.
func (q *request) quarantineID() quarantine.ID {
	if q.cachedQuarantineID == nil {
		id := quarantine.Identify(q.teamName(), q.method, q.host, q.target, q.body)
		q.cachedQuarantineID = &id
	}
	return *q.cachedQuarantineID
}

// quarantineParts returns the parts of the prompt that other requests may share.
func (q *request) quarantineParts() []quarantine.Part {
	parts := q.info.Prompt.Parts
	if q.cachedParts == nil && len(parts) > 1 {
		ids := make([]string, len(parts)-1)
		for i := range ids {
			ids[i] = parts[i].ID
		}
		q.cachedParts = quarantine.IdentifyParts(q.teamName(), q.info.Prompt.Model, ids)
	}
	return q.cachedParts
}

// sendRecord is an entry of the "sends" attribute in a request's log line. It describes one send of the request to a
// server or, if it has no server, a refused permit request.
type sendRecord struct {
	Server    string `json:"server"`
	Reason    string `json:"reason"` // why the server was chosen
	FetchFrom string `json:"fetch,omitempty"`
	Result    string `json:"result"`
	exchange.Send
	// Proof is what proves that the send did not run, or empty if it may have run.
	Proof            exchange.Proof `json:"proof,omitempty"`
	Cause            string         `json:"cause,omitempty"`
	Wait             time.Duration  `json:"wait,omitempty"`   // estimated wait for capacity, from the gateway that refused the permit
	ExpectedPrefill  time.Duration  `json:"expect,omitempty"` // predicted time to the first event
	TimeToFirstEvent time.Duration  `json:"first,omitempty"`  // measured time to the first event
	// RateLimitedServers is the number of servers that had reached their stated rate limits when a permit was refused.
	RateLimitedServers int `json:"limited,omitempty"`
	// ServersInBackoff and PrefillingServers are the numbers of servers that got no requests because of failures, and
	// that had prompts whose first token was not reported, when a permit was refused.
	ServersInBackoff  int `json:"resting,omitempty"`
	PrefillingServers int `json:"reading,omitempty"`
	// Running is the number of this gateway's requests in progress at the server when it was chosen.
	Running int `json:"running"`
	// PendingPrefillTokens is the number of prompt tokens of those requests that had not produced a first token. In the
	// record of a refused permit request, it is the backlog of the engines.
	PendingPrefillTokens int64         `json:"unread"`
	LongestGap           time.Duration `json:"longest,omitempty"` // longest time between two consecutive events
	SentAfter            time.Duration `json:"at"`                // time from the request's arrival to this send
	Took                 time.Duration `json:"took"`              // time until the response was relayed, the send failed or the permit was refused
	// Framing is how the end of the response body is determined, or empty if there was no response.
	Framing exchange.Framing `json:"framing,omitempty"`
	// StreamEnd is where a stream ended, or empty for other responses. IncompleteBytes is the number of bytes that
	// followed its last complete event.
	StreamEnd       streamEnd `json:"end,omitempty"`
	IncompleteBytes int       `json:"incomplete,omitempty"`
	// ServerExited is set if the connection broke because the server process exited.
	ServerExited bool `json:"ended,omitempty"`
	// Notices are the notices in the response headers, or nil if there are none.
	Notices *notice.ResponseNotices `json:"said,omitempty"`
	// RetryDecision is the retry budget's decision on a retry after this send, or nil if the budget was not asked.
	RetryDecision *retrybudget.Decision `json:"repeat,omitempty"`
}

// lastSend returns the most recent record that names a server, or a new empty record if there is none.
func (q *request) lastSend() *sendRecord {
	for i := len(q.sends) - 1; i >= 0; i-- {
		if q.sends[i].Server != "" {
			return &q.sends[i]
		}
	}
	return &sendRecord{}
}

// hasDropped reports whether responses were dropped that belong to no send of the request.
func (q *request) hasDropped() bool {
	return slices.ContainsFunc(q.attempt.Sends, func(s *exchange.Send) bool { return s.Dropped.Count > 0 })
}

// retryDenied reports whether the retry budget denied a retry after the last send.
func (q *request) retryDenied() bool {
	d := q.lastSend().RetryDecision
	return d != nil && !d.Granted
}

// sharedPrefix returns the ID of the shared prompt prefix, which determines placement.
func (q *request) sharedPrefix() string {
	id, _ := q.info.Prompt.SharedPrefix()
	return id
}

// teamName returns the team's name, or an empty string for a caller without a key.
func (q *request) teamName() string {
	if q.team == nil {
		return ""
	}
	return q.team.Name
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	defer g.logPanic()
	if c := callerConnOf(r); c != nil && c.state.Load() == connClosed {
		panic(http.ErrAbortHandler) // the request had been pipelined when the connection was closed as idle
	}
	complete := responseguard.Begin(r)
	if mustClose(r) {
		w.Header().Set("Connection", "close")
	}
	q, err := g.admit(w, r, g.now())
	defer g.releaseBody(q)
	if err != nil {
		if q.conn != nil && r.ContentLength != 0 && q.receivedAt.IsZero() {
			q.conn.drainOnClose.Store(true)
		}
		g.writeError(w, q, err)
		complete()
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), q.deadline.Add(deadlineGrace), errDeadline)
	defer cancel()
	ctx, cancelWithCause := context.WithCancelCause(ctx)
	defer cancelWithCause(nil)
	defer context.AfterFunc(g.shutdown.aborted, func() { cancelWithCause(errShuttingDown) })()
	g.serve(ctx, w, q)
	complete()
}

// Causes for which a request's context is cancelled, other than that the caller has disconnected.
var (
	errDeadline     = errors.New("the deadline has passed")
	errShuttingDown = errors.New("the gateway is shutting down")
)

// announceClose tells the caller that the connection closes after this response if the gateway is shutting down, so that
// the caller does not send its next request on it. It must be called before the response starts.
func (g *Gateway) announceClose(w http.ResponseWriter) {
	if g.shutdown.started() {
		w.Header().Set("Connection", "close")
	}
}

// admit validates the request, determines its route and team, and reads its body. All errors
// have the outcome fault.NotRun. The returned request is never nil.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request, start time.Time) (*request, error) {
	q := &request{conn: callerConnOf(r), start: start, method: r.Method, host: r.Host, header: r.Header, target: r.RequestURI}
	if q.conn != nil {
		q.conn.requests.Add(1)
	}
	if !strings.HasPrefix(q.target, "/") {
		q.target = r.URL.RequestURI()
	}
	q.table = g.table.Load()
	if q.table == nil {
		return q, fault.New(fault.NotReady, "no configuration has been loaded yet").WithOutcome(fault.NotRun).WithRetryAfter(notReadyRetryAfter)
	}
	if err := checkHeaderSize(r, q.table.Limits.HeaderBytes); err != nil {
		return q, err
	}
	info, err := g.dialect.ParseRequest(r.Header)
	q.info = info
	if err != nil {
		return q, err
	}
	path, _, _ := strings.Cut(q.target, "?")
	if q.route = q.table.Route(r.Host, path); q.route == nil {
		return q, fault.New(fault.NotFound, "no route matches this host and path").WithOutcome(fault.NotRun)
	}
	if q.team, err = q.table.Authenticate(q.route, info.APIKey); err != nil {
		return q, err
	}
	q.applyRoute(info)
	if err := g.receiveBody(w, r, q); err != nil {
		return q, err
	}
	q.receivedAt = g.now()
	return q, g.checkShutdown(q, 0)
}

// applyRoute sets the request's deadline, priority and service from its route, its team and the caller's deadline.
func (q *request) applyRoute(info RequestInfo) {
	timeout := q.route.Timeout
	if info.Deadline > 0 {
		timeout = min(timeout, info.Deadline)
	}
	q.deadline = q.start.Add(timeout)
	q.priority = q.route.Priority
	if q.team != nil && q.team.Priority != nil {
		q.priority = *q.team.Priority
	}
	q.service = q.route.PickService(xxhash.Sum64String(info.ID))
}

// serve sends the request to backend servers, relays the response to the caller and logs the result.
func (g *Gateway) serve(ctx context.Context, w http.ResponseWriter, q *request) {
	g.budget(q.service).RecordRequest(g.now())
	rel := &relay{w: w, onStart: g.announceClose}
	err := g.runAttempts(ctx, q, rel)
	switch {
	case err == nil:
		g.logResponse(q, rel)
	case rel.started:
		g.logIncompleteResponse(q, rel, err)
		// The status has been sent, so closing the connection is the only way to signal that the response is incomplete.
		panic(http.ErrAbortHandler)
	default:
		g.writeError(w, q, err)
	}
	telemetry.ObserveDuration("merlinpost_gateway_request_seconds", g.now().Sub(q.start), "team", q.teamName(), "class", q.route.Name)
}
