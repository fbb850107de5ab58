package goosesettings

import (
	"log/slog"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseyaml"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

var tokenHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

type validator struct {
	doc *gooseyaml.Document
	// variableBySetting holds the environment variables that override settings.
	variableBySetting map[string]string
}

// addProblem adds a problem of a setting. If an environment variable overrides the
// setting, the problem names the variable instead of the position in the file.
func (v validator) addProblem(setting, format string, args ...any) {
	if name, ok := v.variableBySetting[setting]; ok {
		v.doc.AddExternalProblem("environment", name, format, args...)
		return
	}
	v.doc.AddProblem(setting, format, args...)
}

func (v validator) checkSettings(s Settings) {
	v.checkName("instance", string(s.Instance))
	v.checkName("data-centre", string(s.DataCentre))
	v.checkName("fleet", s.Fleet)
	v.checkListen("listen", s.Listen)
	v.checkListen("operator-listen", s.OperatorListen)
	v.checkListen("peer-listen", s.PeerListen)
	v.checkAdvertise("peer-advertise", s.PeerAdvertise)
	if s.Listen != "" && s.Listen == s.OperatorListen {
		v.addProblem("operator-listen", "is the same as listen; operators need their own port")
	}
	v.checkRegistered("store.kind", s.Store.Kind, goose.StoreNames())
	v.checkGiven("store.address", s.Store.Address)
	v.checkURL("instance-list", s.InstanceList)
	for i, p := range s.Peers {
		if !isAddrPort(p) {
			v.addProblem("peers["+strconv.Itoa(i)+"]", "%.80q must be an IP address and port", p)
		}
	}
	v.checkGiven("certificate", s.Certificate)
	v.checkGiven("key", s.Key)
	v.checkGiven("authority", s.Authority)
	if !tokenHashPattern.MatchString(s.OperatorTokenHash) {
		v.addProblem("operator-token-hash", "must be the SHA-256 sum of the operator token as 64 lower-case hexadecimal digits")
	}
	v.checkLimits(s)
}

func (v validator) checkLimits(s Settings) {
	if s.MaxBodyBytes < 1 || s.MaxBodyBytes > highestMaxBodyBytes {
		v.addProblem("max-body-bytes", "is %d; must be from 1 to %d", s.MaxBodyBytes, highestMaxBodyBytes)
	}
	if s.MaxBodyBytesInFlight < s.MaxBodyBytes {
		v.addProblem("body-bytes-in-flight", "is %d, below max-body-bytes, which is %d", s.MaxBodyBytesInFlight, s.MaxBodyBytes)
	}
	if s.MemoryBytes != 0 && s.MemoryBytes < lowestMemoryBytes {
		v.addProblem("memory-bytes", "is %d; must be 0 (unknown) or at least %d", s.MemoryBytes, lowestMemoryBytes)
	}
	v.checkRegistered("queue-discipline", s.QueueDiscipline, goose.DisciplineNames())
	v.checkRegistered("routing-policy", s.RoutingPolicy, goose.PolicyNames())
	v.checkRegistered("long-prefill-bound", s.LongPrefillBound, goose.LongPrefillBoundNames())
	v.checkRange("lease-ttl", s.LeaseTTL, time.Second, time.Minute)
	v.checkRange("drain-delay", s.DrainDelay, 0, 5*time.Minute)
	v.checkRange("drain-timeout", s.DrainTimeout, 0, 24*time.Hour)
	v.checkRange("order-retention", s.OrderRetention, time.Minute, 90*24*time.Hour)
	var l slog.Level
	if err := l.UnmarshalText([]byte(s.LogLevel)); err != nil {
		v.addProblem("log-level", "is %.80q; must be debug, info, warn or error", s.LogLevel)
	}
}

func (v validator) checkGiven(setting, value string) {
	if value == "" {
		v.addProblem(setting, "must be given")
	}
}

// checkRegistered checks that value is the name of a registered plug-in. It accepts
// any name if the program has registered none of the kind, for example a tool that
// only checks files.
func (v validator) checkRegistered(setting, value string, known []string) {
	switch {
	case value == "":
		v.addProblem(setting, "must be given")
	case len(known) > 0 && !slices.Contains(known, value):
		v.addProblem(setting, "is %.80q; must be one of %q", value, known)
	}
}

func (v validator) checkName(setting, value string) {
	switch {
	case value == "":
		v.addProblem(setting, "must be given")
	case !goose.ValidName(value):
		v.addProblem(setting, "%.80q is not a name: %s", value, goose.NameRule)
	}
}

func (v validator) checkListen(setting, value string) {
	switch {
	case value == "":
		v.addProblem(setting, "must be given")
	case !isAddrPort(value):
		v.addProblem(setting, "%.80q must be an IP address and port, such as 127.0.0.1:8080", value)
	}
}

// checkAdvertise accepts an address that other instances can dial, or an empty value.
func (v validator) checkAdvertise(setting, value string) {
	a, err := netip.ParseAddrPort(value)
	switch {
	case value == "":
	case err != nil:
		v.addProblem(setting, "%.80q must be an IP address and port, such as 127.0.0.1:8080", value)
	case a.Port() == 0 || a.Addr().IsUnspecified():
		v.addProblem(setting, "%.80q cannot be dialled by other instances", value)
	}
}

func (v validator) checkURL(setting, value string) {
	u, err := url.Parse(value)
	switch {
	case value == "":
		v.addProblem(setting, "must be given")
	case err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https"):
		v.addProblem(setting, "%.80q must be an http or https URL", value)
	}
}

func (v validator) checkRange(setting string, got, lowest, highest time.Duration) {
	if got < lowest || got > highest {
		v.addProblem(setting, "is %s; must be from %s to %s", got, lowest, highest)
	}
}

// isAddrPort reports whether s is an IP address and port. It accepts port 0, for
// which the operating system chooses a port.
func isAddrPort(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}
