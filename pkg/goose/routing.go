package goose

import (
	"net/http"
	"time"
)

// RouteKind is whether requests of a route may run more than once.
type RouteKind string

// Kinds of routes.
const (
	// RouteIdempotent requests may run any number of times.
	RouteIdempotent RouteKind = "idempotent"
	// RouteNonIdempotent requests run at most once.
	RouteNonIdempotent RouteKind = "non-idempotent"
	// RouteStream requests get server-sent events as their response. They may run again
	// only if the route is resumable.
	RouteStream RouteKind = "stream"
)

// WeightedService is one of the services that share a route's requests.
type WeightedService struct {
	Service ServiceName
	// Weight is the share of requests relative to the other weights of the route; a
	// weight of zero gets none.
	Weight int
}

// Route forwards the requests of one host below one path to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time until the end of the response.
	Timeout time.Duration
	// Objective is the time within which a response has its full value: the time to
	// the first event of a stream, or to the complete response otherwise.
	Objective time.Duration
	// MaxPause is the pause between events above which a stream counts as late.
	MaxPause time.Duration
	// Priority ranks routes; zero comes first.
	Priority int
	// Services is never empty.
	Services []WeightedService
	// MaxAttempts bounds the replicas that one request is sent to; at least one.
	MaxAttempts int
	// Public is set if requests of the route need no key.
	Public bool
	// Resumable is set if a stream may continue on another replica after its last
	// event.
	Resumable bool
}

// Retryable reports whether a request may run again after it may have run.
func (r Route) Retryable() bool {
	return r.Kind == RouteIdempotent || r.Kind == RouteStream && r.Resumable
}

// EngineProfile gives the speed and the memory of a model service's replicas.
type EngineProfile struct {
	// Slots is the number of requests that run at once.
	Slots int
	// MemoryTokens is the memory of one replica in tokens.
	MemoryTokens int
	// StepTime is the time of one decode step without any running request. Each running
	// request adds StepTimePerSequence, and StepTimePerThousandTokens for each 1,000 of
	// its tokens.
	StepTime, StepTimePerSequence, StepTimePerThousandTokens time.Duration
	// PrefillTokensPerSecond is the number of prompt tokens prefilled per second.
	PrefillTokensPerSecond float64
	// TimePerMillionPairs is the attention time for a million pairs of a prompt token and
	// an earlier one.
	TimePerMillionPairs time.Duration
	// StepsPerPass is the number of decode steps in one pass, and so the number of tokens
	// in one event.
	StepsPerPass int
	// MeanOutputTokens is the mean number of output tokens.
	MeanOutputTokens int
}

// PrefillTime returns the prefill time of a prompt with a number of tokens.
func (e EngineProfile) PrefillTime(tokens int) time.Duration {
	if e.PrefillTokensPerSecond <= 0 || tokens <= 0 {
		return 0
	}
	read := float64(tokens) / e.PrefillTokensPerSecond * float64(time.Second)
	pairs := float64(tokens) * float64(tokens) / 2 / 1e6 * float64(e.TimePerMillionPairs)
	return time.Duration(read + pairs)
}

// RoutedService is the configuration of a service to which routes forward requests.
type RoutedService struct {
	Name       ServiceName
	HealthPath string
	// MaxConnections bounds the connections of all callers to one replica.
	MaxConnections int
	// ColdRate bounds the requests per second that a cold replica gets from the whole
	// fleet; zero means that the service has no cold start.
	ColdRate float64
	// Engine is nil for a plain service.
	Engine *EngineProfile
}

// RoutedWorkspace is a workspace with the keys of its callers.
type RoutedWorkspace struct {
	Name WorkspaceName
	Keys []string
	// Priority replaces the priority of the routes if HasPriority is set.
	Priority    int
	HasPriority bool
}

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Routing is one version of the configuration of routes, services and workspaces.
// It is immutable.
type Routing struct {
	Version    int64
	Routes     []Route
	Services   []RoutedService
	Workspaces []RoutedWorkspace
	// KeyRequired is set if requests of non-public routes need a key.
	KeyRequired bool
	Limits      CallerLimits
}

// Replica is one backend server, as it describes itself in the platform's store.
type Replica struct {
	ID         ReplicaID
	Service    ServiceName
	DataCentre DataCentre
	// Address is host:port with an IP host.
	Address string
	// Slots is the number of requests that the replica runs at once.
	Slots int
	State AdminState
	// StartedUnixMS is the Unix time in milliseconds at which the replica's process started; a
	// larger one means a later process with the same replica ID.
	StartedUnixMS int64
	// Sequence counts the descriptions that the process has written.
	Sequence int64
	// ColdFor is how long the replica stays cold, counted from this description.
	ColdFor time.Duration
}

// RequestHeader is what a caller's headers state about a request.
type RequestHeader struct {
	Attempt AttemptID
	// TimeLeft is how long the caller waits; zero if the caller does not state it.
	TimeLeft time.Duration
	// Key is the caller's key; empty if it has none.
	Key string
	// PromptTokens and OutputTokens are zero if the caller does not state them.
	// OutputTokens is an upper bound.
	PromptTokens, OutputTokens int
	// OutputEstimate is the caller's estimate of the output tokens; zero if it has
	// none.
	OutputEstimate int
	// LastEvent is the event after which a stream continues; empty for a stream from
	// the start.
	LastEvent string
	// Model is empty if the caller does not state it.
	Model string
	// SharedParts are the parts of the prompt that other requests may contain, too: all
	// but the last one, without duplicates. There are at most MaxSharedParts.
	SharedParts []PromptPartID
}

// PromptPartID identifies a part of a prompt by its content.
type PromptPartID string

// MaxSharedParts bounds the parts of one prompt that are examined.
const MaxSharedParts = 64

// PrefillHelper is a replica that prefills a part of another replica's prompt.
type PrefillHelper struct {
	Address string
	// Ticket identifies the memory that is reserved on the helper; empty if the helper
	// only prefills.
	Ticket string
}

// ForwardHeader is what an instance sends to a replica about a forwarded request.
type ForwardHeader struct {
	TimeLeft  time.Duration
	Replica   ReplicaID
	Workspace WorkspaceName
	// Urgency is from 0 (first) to 9.
	Urgency int
	// LastEvent is the event after which the replica continues the stream; empty for
	// a stream from the start.
	LastEvent string
	Helpers   []PrefillHelper
}

// ResponseHeader is what the headers of a replica's response state.
type ResponseHeader struct {
	// Attempt is empty if the response names none.
	Attempt AttemptID
	// NotRun is set if the replica states that it did not and will not run the
	// request.
	NotRun bool
	// ProcessChanged is set if the process that responded is not the expected one.
	ProcessChanged bool
	// Stamped is set if the response has the platform's stamp, without which callers do not
	// accept a success.
	Stamped bool
	// FaultyHelper names the helper that caused the failure; empty if the response names
	// none.
	FaultyHelper string
	Wish         Wish
}

// HeaderCodec translates between routed requests and the HTTP headers that callers and
// replicas of a platform use.
type HeaderCodec interface {
	// ParseRequest parses a caller's headers. An error states for the caller what is wrong.
	ParseRequest(h http.Header) (RequestHeader, error)
	// ForwardHeaders returns the headers for a replica: those of the caller, without the
	// ones that are for the caller's connection or for gooseberryhold, and those of f.
	ForwardHeaders(caller http.Header, f ForwardHeader) http.Header
	// ParseResponse parses the headers of a replica's response.
	ParseResponse(status int, h http.Header) ResponseHeader
	// SetRefusalHeaders adds the ID of the request to the headers of a response that does not
	// come from a replica.
	SetRefusalHeaders(response http.Header, id AttemptID)
	// ReservationCall returns the call that reserves or, with zero tokens, releases
	// memory of a replica for a prompt that needs several replicas.
	ReservationCall(r Reservation) (path string, body []byte, err error)
}

// Reservation is memory of one replica that is reserved for a prompt.
type Reservation struct {
	Ticket string
	// Tokens is zero to release the ticket.
	Tokens int
	// TTL is how long the memory stays reserved.
	TTL time.Duration
}

// WithTokens returns the reservation with another number of tokens.
func (r Reservation) WithTokens(n int) Reservation {
	r.Tokens = n
	return r
}

// ChangeKind is the kind of object that an entry of the platform's store describes.
type ChangeKind string

// Kinds of changes.
const (
	ChangeRouting    ChangeKind = "routing"
	ChangeReplica    ChangeKind = "replica"
	ChangeEvacuation ChangeKind = "evacuation"
	// ChangeInstance is the registration of an entry instance.
	ChangeInstance ChangeKind = "instance"
	// ChangeCrash is the crash record of a request.
	ChangeCrash ChangeKind = "crash"
	// ChangeNone is an entry that gooseberryhold does not use.
	ChangeNone ChangeKind = "none"
)

// StoreChange is an entry of the platform's store, decoded.
type StoreChange struct {
	Kind ChangeKind
	// Removed is set if the entry no longer exists.
	Removed bool
	// Routing is set by ChangeRouting that is not Removed.
	Routing *Routing
	// Replica is set by ChangeReplica; only its ID if Removed.
	Replica Replica
	// DataCentre is set by ChangeEvacuation: it gets no work until the entry is removed. It is
	// also set by ChangeInstance: the data centre of the instance, empty if not known.
	DataCentre DataCentre
	// Instance and Address are set by ChangeInstance; Address, which takes the load
	// reports of peers, is empty if Removed.
	Instance InstanceID
	Address  string
	// Crash is set by ChangeCrash; only its fingerprint if Removed. Revision is the store
	// revision of the change.
	Crash    CrashRecord
	Revision int64
}

// RegisteredInstance is an instance that the store lists.
type RegisteredInstance struct {
	// Address receives the load reports of peers.
	Address string
	// DataCentre is empty if it is not known.
	DataCentre DataCentre
}

// StoreDecoder decodes the entries of a platform's store that describe routing, replicas
// and evacuations.
type StoreDecoder interface {
	// Prefixes returns the key prefixes to watch.
	Prefixes() []string
	// KindPrefixes returns the prefix below which the entries of each kind are stored.
	KindPrefixes() map[ChangeKind]string
	// Decode decodes an entry; a deleted one has no value. For an entry that cannot be
	// decoded it returns an error and a Removed change of the object that the key names.
	Decode(e Entry, deleted bool) (StoreChange, error)
}
