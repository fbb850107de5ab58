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

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

type validator struct {
	doc *gooseyaml.Document
	// overridden names the environment variable of a setting.
	overridden map[string]string
}

// problem blames the environment for a setting that came from there.
func (v validator) problem(setting, format string, args ...any) {
	if name, ok := v.overridden[setting]; ok {
		v.doc.External("environment", name, format, args...)
		return
	}
	v.doc.Problem(setting, format, args...)
}

func (v validator) settings(s Settings) {
	v.name("instance", string(s.Instance))
	v.name("data-centre", string(s.DataCentre))
	v.name("fleet", s.Fleet)
	v.listen("listen", s.Listen)
	v.listen("operator-listen", s.OperatorListen)
	v.listen("peer-listen", s.PeerListen)
	v.advertise("peer-advertise", s.PeerAdvertise)
	if s.Listen != "" && s.Listen == s.OperatorListen {
		v.problem("operator-listen", "is the same as listen; operators need their own port")
	}
	v.registered("store.kind", s.Store.Kind, goose.StoreNames())
	v.given("store.address", s.Store.Address)
	v.url("instance-list", s.InstanceList)
	for i, p := range s.Peers {
		if !address(p) {
			v.problem("peers["+strconv.Itoa(i)+"]", "%.80q must be an IP address and port", p)
		}
	}
	v.given("certificate", s.Certificate)
	v.given("key", s.Key)
	v.given("authority", s.Authority)
	if !hashPattern.MatchString(s.OperatorTokenHash) {
		v.problem("operator-token-hash", "must be the SHA-256 sum of the operator token as 64 lower-case hexadecimal digits")
	}
	v.limits(s)
}

func (v validator) limits(s Settings) {
	if s.MaxBodyBytes < 1 || s.MaxBodyBytes > maxBodyBytes {
		v.problem("max-body-bytes", "is %d; must be from 1 to %d", s.MaxBodyBytes, maxBodyBytes)
	}
	if s.BodyBytesInFlight < s.MaxBodyBytes {
		v.problem("body-bytes-in-flight", "is %d, below max-body-bytes, which is %d", s.BodyBytesInFlight, s.MaxBodyBytes)
	}
	v.registered("queue-discipline", s.QueueDiscipline, goose.DisciplineNames())
	v.registered("routing-policy", s.RoutingPolicy, goose.PolicyNames())
	v.registered("long-prefill-bound", s.LongPrefillBound, goose.LongPrefillBoundNames())
	v.between("lease-ttl", s.LeaseTTL, time.Second, time.Minute)
	v.between("drain-delay", s.DrainDelay, 0, 5*time.Minute)
	v.between("drain-timeout", s.DrainTimeout, 0, 24*time.Hour)
	v.between("order-retention", s.OrderRetention, time.Minute, 90*24*time.Hour)
	var l slog.Level
	if err := l.UnmarshalText([]byte(s.LogLevel)); err != nil {
		v.problem("log-level", "is %.80q; must be debug, info, warn or error", s.LogLevel)
	}
}

func (v validator) given(setting, value string) {
	if value == "" {
		v.problem(setting, "must be given")
	}
}

// registered accepts any name if the program has no plug-in of the kind, as in
// a tool that only checks files.
func (v validator) registered(setting, value string, known []string) {
	switch {
	case value == "":
		v.problem(setting, "must be given")
	case len(known) > 0 && !slices.Contains(known, value):
		v.problem(setting, "is %.80q; must be one of %q", value, known)
	}
}

func (v validator) name(setting, value string) {
	switch {
	case value == "":
		v.problem(setting, "must be given")
	case !goose.ValidName(value):
		v.problem(setting, "%.80q is not a name: %s", value, goose.NameRule)
	}
}

func (v validator) listen(setting, value string) {
	switch {
	case value == "":
		v.problem(setting, "must be given")
	case !address(value):
		v.problem(setting, "%.80q must be an IP address and port, such as 127.0.0.1:8080", value)
	}
}

// advertise accepts an address that others can dial, or none.
func (v validator) advertise(setting, value string) {
	a, err := netip.ParseAddrPort(value)
	switch {
	case value == "":
	case err != nil:
		v.problem(setting, "%.80q must be an IP address and port, such as 127.0.0.1:8080", value)
	case a.Port() == 0 || a.Addr().IsUnspecified():
		v.problem(setting, "%.80q cannot be dialled by other instances", value)
	}
}

func (v validator) url(setting, value string) {
	u, err := url.Parse(value)
	switch {
	case value == "":
		v.problem(setting, "must be given")
	case err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https"):
		v.problem(setting, "%.80q must be an http or https URL", value)
	}
}

func (v validator) between(setting string, got, least, most time.Duration) {
	if got < least || got > most {
		v.problem(setting, "is %s; must be from %s to %s", got, least, most)
	}
}

// address accepts port 0, which lets the system choose one.
func address(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}
