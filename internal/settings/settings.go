package settings

import "time"

// Logging configures the log output of a process.
type Logging struct {
	Format string `toml:"format" validate:"oneof=text json"`
	Level  string `toml:"level" validate:"oneof=debug info warn error"`
}

// Log configures the connection to the platform's append-only log service.
type Log struct {
	Address string `toml:"address" validate:"required,ipport"`
	// TimeoutMS is the time limit of one append or read.
	TimeoutMS int `toml:"timeout_ms" validate:"min=50,max=60000"`
	// PollMS is how long a long-polling read waits for a new record.
	PollMS int `toml:"poll_ms" validate:"min=100,max=60000"`
	// SnapshotEvery is the number of records after which a snapshot of the
	// configuration is written. Only routers write snapshots.
	SnapshotEvery int `toml:"snapshot_every" validate:"min=1,max=100000"`
	// SnapshotAgeMS is the age after which a new snapshot is written even if
	// there were fewer than SnapshotEvery records. It must be well below the
	// log's retention period.
	SnapshotAgeMS int `toml:"snapshot_age_ms" validate:"min=1000"`
}

// Members configures the connection to the platform's membership list.
type Members struct {
	// Address may be empty; only the declared pools are used then.
	Address string `toml:"address" validate:"omitempty,ipport"`
	PollMS  int    `toml:"poll_ms" validate:"min=100,max=60000"`
}

// Link configures the timing of a link between a router and an agent.
type Link struct {
	// HeartbeatMS is the interval between heartbeats on a link that has
	// requests in progress but nothing else to send. A link without requests
	// sends a twentieth as many.
	HeartbeatMS int `toml:"heartbeat_ms" validate:"min=50,max=60000"`
	// SilentMS is how long nothing may be received on a link before it is
	// replaced.
	SilentMS int `toml:"silent_ms" validate:"min=100,max=120000,gtfield=HeartbeatMS"`
	// LostMS is how long a request waits for the link to its agent to be
	// restored before the attempt counts as lost. LostRepeatableMS is the same
	// for work that may continue on another backend server: there, waiting costs
	// the caller more than a repeated prefill costs the pool.
	LostMS           int `toml:"lost_ms" validate:"min=100,max=600000"`
	LostRepeatableMS int `toml:"lost_repeatable_ms" validate:"min=100,max=600000"`
}

// Router holds the settings of "merlinpost router".
type Router struct {
	Name          string    `toml:"name" validate:"required,max=128"`
	FailureDomain string    `toml:"failure_domain" validate:"required,max=128"`
	Callers       Callers   `toml:"callers"`
	Operators     Operators `toml:"operators"`
	Peers         Peers     `toml:"peers"`
	Log           Log       `toml:"log"`
	Members       Members   `toml:"members"`
	Link          Link      `toml:"link"`
	Policy        Policy    `toml:"policy"`
	Logging       Logging   `toml:"logging"`
}

// Callers configures the callers' API of a router.
type Callers struct {
	Listen string `toml:"listen" validate:"required,ipport"`
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64 `toml:"max_body_bytes" validate:"min=1024,max=4194304"`
	// BalancerLagMS is how long a stopping router still accepts requests after
	// its readiness check has begun to fail, until the load balancer has
	// noticed.
	BalancerLagMS int `toml:"balancer_lag_ms" validate:"min=0,max=600000"`
	// HeaderTimeoutMS and BodyTimeoutMS are the time limits for reading a
	// request, against slow clients.
	HeaderTimeoutMS int `toml:"header_timeout_ms" validate:"min=100,max=600000"`
	BodyTimeoutMS   int `toml:"body_timeout_ms" validate:"min=100,max=600000"`
	// StallTimeoutMS is how long a client may read nothing of its response.
	StallTimeoutMS int `toml:"stall_timeout_ms" validate:"min=100,max=600000"`
	// MaxRequests is the maximum number of requests in progress at this router.
	MaxRequests int `toml:"max_requests" validate:"min=1,max=1000000"`
}

// Operators configures the operators' API of a router.
type Operators struct {
	Listen string `toml:"listen" validate:"required,ipport"`
	// Keys are SHA-256 hashes of operator keys, in hexadecimal.
	Keys []OperatorKey `toml:"keys" validate:"dive"`
}

// Peers configures how routers share the teams' limits.
type Peers struct {
	// Listen is the UDP address for requests from other routers. It must be the
	// router's address in the membership list. If it is empty, each router gets
	// an equal share.
	Listen string `toml:"listen" validate:"omitempty,ipport"`
}

// OperatorKey grants access to one operator.
type OperatorKey struct {
	Name   string `toml:"name" validate:"required"`
	SHA256 string `toml:"sha256" validate:"len=64,hexadecimal"`
}

// Policy selects how a router chooses backend servers and retries.
type Policy struct {
	// Choice is "scored", or one of the baselines "round_robin" and
	// "least_loaded".
	Choice string `toml:"choice" validate:"oneof=scored round_robin least_loaded"`
	// Subset is how many agents of a pool this router keeps links to.
	Subset int `toml:"subset" validate:"min=1,max=4096"`
	// Prefix, Domain, Straggler and Corrected enable parts of the score.
	PrefixAffinity   bool `toml:"prefix"`
	DomainAffinity   bool `toml:"domain"`
	StragglerPenalty bool `toml:"straggler"`
	CountUnreported  bool `toml:"corrected"`
	// RetryShare is the retry budget, as retries per first attempt.
	RetryShare float64 `toml:"retry_share" validate:"min=0,max=1"`
	// RetryBurst is the number of retries allowed without recent traffic.
	RetryBurst float64 `toml:"retry_burst" validate:"min=0,max=10000"`
	// MaxAttempts is the maximum number of attempts per request.
	MaxAttempts int `toml:"max_attempts" validate:"min=1,max=100"`
}

// Agent holds the settings of "merlinpost-agent".
type Agent struct {
	// Name is the backend server's name in its pool.
	Name          string    `toml:"name" validate:"required,max=128"`
	FailureDomain string    `toml:"failure_domain" validate:"required,max=128"`
	Listen        string    `toml:"listen" validate:"required,ipport"`
	Metrics       string    `toml:"metrics" validate:"required,ipport"`
	Server        Server    `toml:"server"`
	Admission     Admission `toml:"admission"`
	Log           Log       `toml:"log"`
	Members       Members   `toml:"members"`
	Weights       Weights   `toml:"weights"`
	Link          Link      `toml:"link"`
	Logging       Logging   `toml:"logging"`
}

// Server configures the backend server that an agent runs beside.
type Server struct {
	Kind    string `toml:"kind" validate:"oneof=engine service"`
	Address string `toml:"address" validate:"required,ipport"`
	// Slots is the maximum number of requests running on the server at once.
	Slots int `toml:"slots" validate:"min=1,max=4096"`
	// Fencing states that the engine rejects orders from the agent, such as to
	// load a model, that carry an outdated fencing token.
	Fencing bool `toml:"fencing"`
	// StallMS is how long an engine may produce no output before the call fails.
	StallMS int `toml:"stall_ms" validate:"min=100,max=600000"`
}

// Admission configures the queue of an agent.
type Admission struct {
	// Order is "tiers", or the baseline "fifo".
	Order string `toml:"order" validate:"oneof=tiers fifo"`
	// QueueLimit is the maximum number of waiting requests in each tier.
	QueueLimit int `toml:"queue_limit" validate:"min=1,max=1000000"`
	// MaxPreemptions is the maximum number of preemptions of one request.
	MaxPreemptions int `toml:"max_preemptions" validate:"min=0,max=100"`
	// Preemption, Floors, Fairness and EarlyRefusal enable parts of the policy.
	Preemption   bool `toml:"preemption"`
	Floors       bool `toml:"floors"`
	Fairness     bool `toml:"fairness"`
	EarlyRefusal bool `toml:"early_refusal"`
	// FloorWindowMS is the window over which token shares are measured.
	FloorWindowMS int `toml:"floor_window_ms" validate:"min=100,max=3600000"`
}

// Weights limits how many backend servers of a pool load weights at once from
// the platform's rate-limited store. Servers load in time slots.
type Weights struct {
	// TurnMS is the length of a time slot; 0 disables time slots.
	TurnMS int `toml:"turn_ms" validate:"min=0,max=3600000"`
	// AtOnce is the number of servers of a pool that share a time slot.
	AtOnce int `toml:"at_once" validate:"min=1,max=4096"`
}

// Default link timing; docs/OPERATIONS.md describes when to change it.
const (
	defaultHeartbeatMS = 1000
	defaultSilentMS    = 2500
	defaultLostMS      = 5000

	defaultLostRepeatableMS = 1000
)

func defaultLog() Log {
	return Log{TimeoutMS: 2000, PollMS: 10000, SnapshotEvery: 500, SnapshotAgeMS: 3600_000}
}

func defaultLink() Link {
	return Link{HeartbeatMS: defaultHeartbeatMS, SilentMS: defaultSilentMS, LostMS: defaultLostMS,
		LostRepeatableMS: defaultLostRepeatableMS}
}

// DefaultRouter returns the default settings of a router. Required settings
// without a default are empty.
func DefaultRouter() Router {
	return Router{
		Callers: Callers{Listen: "127.0.0.1:8080", MaxBodyBytes: 1 << 20, BalancerLagMS: 5000,
			HeaderTimeoutMS: 5000, BodyTimeoutMS: 10000, StallTimeoutMS: 30000, MaxRequests: 10000},
		Operators: Operators{Listen: "127.0.0.1:8081"},
		Log:       defaultLog(),
		Members:   Members{PollMS: 2000},
		Link:      defaultLink(),
		Policy: Policy{Choice: "scored", Subset: 16, PrefixAffinity: true, DomainAffinity: true, StragglerPenalty: true, CountUnreported: true,
			RetryShare: 0.1, RetryBurst: 10, MaxAttempts: 4},
		Logging: Logging{Format: "text", Level: "info"},
	}
}

// DefaultAgent returns the default settings of an agent. Required settings
// without a default are empty.
func DefaultAgent() Agent {
	return Agent{
		Server: Server{Kind: "engine", Slots: 8, StallMS: 10000},
		Admission: Admission{Order: "tiers", QueueLimit: 1000, MaxPreemptions: 8, Preemption: true, Floors: true,
			Fairness: true, EarlyRefusal: true, FloorWindowMS: 10000},
		Log:     defaultLog(),
		Members: Members{PollMS: 2000},
		Weights: Weights{AtOnce: 2},
		Link:    defaultLink(),
		Logging: Logging{Format: "text", Level: "info"},
	}
}

// Millis converts a setting in milliseconds to a duration.
func Millis(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
