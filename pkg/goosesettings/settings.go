// Package goosesettings reads the settings file of one instance, with
// overrides from the environment.
package goosesettings

import (
	"log/slog"
	"os"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseyaml"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"

	"github.com/pkg/errors"
)

// EnvPrefix is the prefix of environment variables that override settings.
const EnvPrefix = "GOOSEBERRYHOLD_"

// Defaults of settings.
const (
	DefaultMaxBodyBytes            = 8 << 20
	DefaultBodyBytesInFlight       = 256 << 20
	DefaultQueueDiscipline         = "fair"
	DefaultRoutingPolicy           = "affinity"
	DefaultLongPrefillBound        = "adaptive"
	DefaultLeaseTTL                = 3 * time.Second
	DefaultDrainDelay              = 5 * time.Second
	DefaultDrainTimeout            = 10 * time.Minute
	DefaultOrderRetention          = 24 * time.Hour
	DefaultLogLevel                = "info"
	highestMaxBodyBytes      int64 = 1 << 30
	// lowestMemoryBytes is what an instance without requests takes, with a reserve.
	lowestMemoryBytes int64 = 64 << 20
)

// Store are the settings of the platform's key-value store.
type Store struct {
	// Kind is the name of a registered store implementation, such as etcd.
	Kind string `yaml:"kind"`
	// Address has the form that the implementation expects: host:port for etcd.
	Address string `yaml:"address"`
}

// Settings are the settings of one instance.
type Settings struct {
	Instance   goose.InstanceID `yaml:"instance"`
	DataCentre goose.DataCentre `yaml:"data-centre"`
	// Fleet separates the keys of several fleets in one store.
	Fleet string `yaml:"fleet"`
	// Listen, OperatorListen (both TCP) and PeerListen (UDP) are the addresses, as IP
	// address and port, on which the instance listens.
	Listen         string `yaml:"listen"`
	OperatorListen string `yaml:"operator-listen"`
	PeerListen     string `yaml:"peer-listen"`
	// PeerAdvertise is the IP address and port that other instances dial. If it is
	// empty, they dial the address on which the instance listens.
	PeerAdvertise string `yaml:"peer-advertise"`
	Store         Store  `yaml:"store"`
	// InstanceList is the URL of the platform's list of instances.
	InstanceList string `yaml:"instance-list"`
	// Peers are addresses of other instances for peer calls. They are used while the
	// list of instances is unavailable.
	Peers []string `yaml:"peers"`
	// Certificate, Key and Authority are the names of PEM files.
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
	// OperatorTokenHash is the SHA-256 sum of the operator token, in hexadecimal.
	OperatorTokenHash    string `yaml:"operator-token-hash"`
	MaxBodyBytes         int64  `yaml:"max-body-bytes"`
	MaxBodyBytesInFlight int64  `yaml:"body-bytes-in-flight"`
	// MemoryBytes is the memory of the machine; zero if it is unknown.
	MemoryBytes      int64  `yaml:"memory-bytes"`
	QueueDiscipline  string `yaml:"queue-discipline"`
	RoutingPolicy    string `yaml:"routing-policy"`
	LongPrefillBound string `yaml:"long-prefill-bound"`
	// LeaseTTL is the time to live of the pool leases.
	LeaseTTL time.Duration `yaml:"lease-ttl"`
	// DrainDelay is how long a stopping instance still serves new requests while
	// the load balancer learns from /readyz that the instance is leaving.
	DrainDelay time.Duration `yaml:"drain-delay"`
	// DrainTimeout limits the duration of a graceful shutdown.
	DrainTimeout   time.Duration `yaml:"drain-timeout"`
	OrderRetention time.Duration `yaml:"order-retention"`
	LogLevel       string        `yaml:"log-level"`
}

// Level returns the log level, which is info if the name is unknown.
func (s Settings) Level() slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return slog.LevelInfo
	}
	return l
}

// Load reads the file and applies overrides from the environment, given as
// os.Environ returns it. An empty file name means that there is no file. The error
// is a gooseyaml.InvalidError with every problem found, or the error of reading the
// file.
func Load(file string, environ []string) (Settings, error) {
	var data []byte
	if file != "" {
		var err error
		if data, err = os.ReadFile(file); err != nil {
			return Settings{}, errors.Wrap(err, "settings")
		}
	}
	return Parse(file, data, environ)
}

// Parse does the same as Load for a file that has already been read.
func Parse(file string, data []byte, environ []string) (Settings, error) {
	s := defaultSettings()
	d := gooseyaml.Decode(file, data, &s)
	variables := applyOverrides(d, &s, environ)
	v := validator{doc: d, variableBySetting: variables}
	v.checkSettings(s)
	if err := d.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

func defaultSettings() Settings {
	return Settings{
		MaxBodyBytes: DefaultMaxBodyBytes, MaxBodyBytesInFlight: DefaultBodyBytesInFlight,
		QueueDiscipline: DefaultQueueDiscipline, RoutingPolicy: DefaultRoutingPolicy,
		LongPrefillBound: DefaultLongPrefillBound,
		LeaseTTL:         DefaultLeaseTTL, DrainDelay: DefaultDrainDelay, DrainTimeout: DefaultDrainTimeout,
		OrderRetention: DefaultOrderRetention, LogLevel: DefaultLogLevel,
	}
}
