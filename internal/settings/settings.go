package settings

import "time"

// Logging says how a process writes its log.
type Logging struct {
	Format string `toml:"format" validate:"oneof=text json"`
	Level  string `toml:"level" validate:"oneof=debug info warn error"`
}

// Log says where the platform's append-only log service is.
type Log struct {
	Address string `toml:"address" validate:"required,ipport"`
	// TimeoutMS bounds one append or read, milliseconds.
	TimeoutMS int `toml:"timeout_ms" validate:"min=50,max=60000"`
	// PollMS is how long a read waits at the log for a new record.
	PollMS int `toml:"poll_ms" validate:"min=100,max=60000"`
	// SnapshotEvery is the number of records after which a snapshot of the
	// configuration is due. Snapshots come from routers only.
	SnapshotEvery int `toml:"snapshot_every" validate:"min=1,max=100000"`
	// SnapshotAgeMS is the age after which a snapshot is due although few
	// records came; keep it well under the log's retention.
	SnapshotAgeMS int `toml:"snapshot_age_ms" validate:"min=1000"`
}

// Members says where the platform's membership list is.
type Members struct {
	// Address may be empty: then only the declared pools are used.
	Address string `toml:"address" validate:"omitempty,ipport"`
	PollMS  int    `toml:"poll_ms" validate:"min=100,max=60000"`
}

// Link holds the timing of a link between router and agent.
type Link struct {
	// HeartbeatMS is the time between heartbeats of a link with requests on
	// it and nothing else to send; a link without has a twentieth as many.
	HeartbeatMS int `toml:"heartbeat_ms" validate:"min=50,max=60000"`
	// SilentMS is how long a link may bring nothing before it is replaced.
	SilentMS int `toml:"silent_ms" validate:"min=100,max=120000,gtfield=HeartbeatMS"`
	// LostMS is how long a request waits for its agent to be reached again
	// before its attempt counts as lost; LostRepeatableMS is the same for work
	// that may go on elsewhere, where waiting costs the caller more than a
	// repeated prefill costs the pool.
	LostMS           int `toml:"lost_ms" validate:"min=100,max=600000"`
	LostRepeatableMS int `toml:"lost_repeatable_ms" validate:"min=100,max=600000"`
}

// Router is the settings file of "merlinpost router".
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

// Callers is the callers' side of a router.
type Callers struct {
	Listen string `toml:"listen" validate:"required,ipport"`
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64 `toml:"max_body_bytes" validate:"min=1024,max=4194304"`
	// BalancerLagMS is how long a stopping router still accepts requests
	// after it has failed its readiness check.
	BalancerLagMS int `toml:"balancer_lag_ms" validate:"min=0,max=600000"`
	// HeaderTimeoutMS and BodyTimeoutMS bound a slow client's request.
	HeaderTimeoutMS int `toml:"header_timeout_ms" validate:"min=100,max=600000"`
	BodyTimeoutMS   int `toml:"body_timeout_ms" validate:"min=100,max=600000"`
	// StallTimeoutMS is how long a reader of an answer may take nothing.
	StallTimeoutMS int `toml:"stall_timeout_ms" validate:"min=100,max=600000"`
	// MaxRequests bounds the requests in progress at this router.
	MaxRequests int `toml:"max_requests" validate:"min=1,max=1000000"`
}

// Operators is the operators' side of a router.
type Operators struct {
	Listen string `toml:"listen" validate:"required,ipport"`
	// Keys are SHA-256 hashes of operator keys, in hexadecimal.
	Keys []OperatorKey `toml:"keys" validate:"dive"`
}

// Peers is how routers share the teams' limits.
type Peers struct {
	// Listen is a UDP address for the asks of other routers; it must be the
	// router's address on the membership list. Empty: equal shares only.
	Listen string `toml:"listen" validate:"omitempty,ipport"`
}

// OperatorKey gives one operator access.
type OperatorKey struct {
	Name   string `toml:"name" validate:"required"`
	SHA256 string `toml:"sha256" validate:"len=64,hexadecimal"`
}

// Policy selects how a router chooses backend servers and retries.
type Policy struct {
	// Choice is "scored", or a baseline: "round_robin" or "least_loaded".
	Choice string `toml:"choice" validate:"oneof=scored round_robin least_loaded"`
	// Subset is how many agents of a pool this router keeps links to.
	Subset int `toml:"subset" validate:"min=1,max=4096"`
	// Prefix, Domain, Straggler and Corrected switch parts of the score.
	Prefix    bool `toml:"prefix"`
	Domain    bool `toml:"domain"`
	Straggler bool `toml:"straggler"`
	Corrected bool `toml:"corrected"`
	// RetryShare is the retry budget: retries per first offer.
	RetryShare float64 `toml:"retry_share" validate:"min=0,max=1"`
	// RetryBurst is the number of retries allowed with no recent traffic.
	RetryBurst float64 `toml:"retry_burst" validate:"min=0,max=10000"`
	// MaxAttempts bounds the offers of one request.
	MaxAttempts int `toml:"max_attempts" validate:"min=1,max=100"`
}

// Agent is the settings file of "merlinpost-agent".
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

// Server is the backend server that an agent stands beside.
type Server struct {
	Kind    string `toml:"kind" validate:"oneof=engine service"`
	Address string `toml:"address" validate:"required,ipport"`
	// Slots is how many requests the agent lets run there at once.
	Slots int `toml:"slots" validate:"min=1,max=4096"`
	// Fencing says that the engine refuses orders with an old number.
	Fencing bool `toml:"fencing"`
	// StallMS is how long an engine may give nothing before the call fails.
	StallMS int `toml:"stall_ms" validate:"min=100,max=600000"`
}

// Admission is the policy of an agent's queue.
type Admission struct {
	// Order is "tiers", or the baseline "fifo".
	Order string `toml:"order" validate:"oneof=tiers fifo"`
	// QueueLimit bounds the waiting requests of each tier.
	QueueLimit int `toml:"queue_limit" validate:"min=1,max=1000000"`
	// MaxPreemptions is how often one request may be preempted.
	MaxPreemptions int `toml:"max_preemptions" validate:"min=0,max=100"`
	// Preemption, Floors, Fairness and EarlyRefusal switch parts off.
	Preemption   bool `toml:"preemption"`
	Floors       bool `toml:"floors"`
	Fairness     bool `toml:"fairness"`
	EarlyRefusal bool `toml:"early_refusal"`
	// FloorWindowMS is the window over which token shares are measured.
	FloorWindowMS int `toml:"floor_window_ms" validate:"min=100,max=3600000"`
}

// Weights bounds how many backend servers of a pool load weights at once from
// the platform's rate-limited store.
type Weights struct {
	// TurnMS is how long each turn at the store lasts; 0: no turns.
	TurnMS int `toml:"turn_ms" validate:"min=0,max=3600000"`
	// AtOnce is how many servers of a pool have their turn together.
	AtOnce int `toml:"at_once" validate:"min=1,max=4096"`
}

// Timing defaults; docs/OPERATIONS.md says when to change them.
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

// DefaultRouter returns the defaults that a settings file is read over.
func DefaultRouter() Router {
	return Router{
		Callers: Callers{Listen: "127.0.0.1:8080", MaxBodyBytes: 1 << 20, BalancerLagMS: 5000,
			HeaderTimeoutMS: 5000, BodyTimeoutMS: 10000, StallTimeoutMS: 30000, MaxRequests: 10000},
		Operators: Operators{Listen: "127.0.0.1:8081"},
		Log:       defaultLog(),
		Members:   Members{PollMS: 2000},
		Link:      defaultLink(),
		Policy: Policy{Choice: "scored", Subset: 16, Prefix: true, Domain: true, Straggler: true, Corrected: true,
			RetryShare: 0.1, RetryBurst: 10, MaxAttempts: 4},
		Logging: Logging{Format: "text", Level: "info"},
	}
}

// DefaultAgent returns the defaults that a settings file is read over.
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

// Millis converts a setting in milliseconds.
func Millis(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
