package goosesession

import (
	"bytes"
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// replacements lists the patterns of texts that differ between runs, and the texts that the
// golden files have in their place.
var replacements = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{regexp.MustCompile(`leith-entry-(\d)-[0-9a-f]{8}-\d+(\.\d+)*`), "REQUEST-$1"},
	{regexp.MustCompile(`leith-entry-\d-[0-9a-f]{16}(-\d+)+`), "ATTEMPT"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?(Z|[+-]\d\d:\d\d)`), "TIME"},
	{regexp.MustCompile(`"created":\d+`), `"created":TIME`},
	{regexp.MustCompile(`"retry-after-ms":\d+`), `"retry-after-ms":TIME`},
	{regexp.MustCompile(`\b[A-Z2-7]{26}\b`), "CHANGE"},
	// The error of a broken connection depends on the data that was in flight.
	{regexp.MustCompile(`/v3/\S+: .*: store unavailable`), "CAUSE: store unavailable"},
	{regexp.MustCompile(`(the platform's store does not answer): .*`), "$1: CAUSE"},
	{regexp.MustCompile(`backend server lost: [^"]*`), "backend server lost: CAUSE"},
	// Either instance may win the lease of a pool.
	{regexp.MustCompile(`leith-entry-\d( +leased)`), "DISPATCHER$1"},
	// Columns are as wide as their longest cell.
	{regexp.MustCompile(`(\S) {2,}`), "$1  "},
	{regexp.MustCompile(`(?m) +$`), ""},
}

func normalise(text string) string {
	for _, v := range replacements {
		text = v.pattern.ReplaceAllString(text, v.with)
	}
	return strings.TrimSuffix(text, "\n") + "\n"
}

// operate runs an operator command against the first instance and returns its exit code
// and its normalised output: operate <argument>... The file raw.txt holds the standard
// output before it is normalised.
func operate(ts *testscript.TestScript, args []string) (string, error) {
	f := fleet(ts)
	token := cmp.Or(ts.Getenv("OPERATOR_TOKEN"), f.OperatorToken)
	program := exec.Command(ts.Getenv("PROGRAM"), args...)
	program.Dir = ts.MkAbs(".")
	program.Env = append(os.Environ(), "USER=ada", "GOOSEBERRYHOLD_OPERATOR="+f.Instances[0].Operator, "GOOSEBERRYHOLD_OPERATOR_TOKEN="+token)
	var out, stderr bytes.Buffer
	program.Stdout, program.Stderr = &out, &stderr
	err := program.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return "", errors.Wrap(err, "operate")
	}
	ts.Check(os.WriteFile(ts.MkAbs("raw.txt"), out.Bytes(), 0o600))
	return normalise(fmt.Sprintf("exit %d\n%s%s", program.ProcessState.ExitCode(), &out, &stderr)), nil
}

// call sends a request and returns the response:
// call [-at instance] [-key key] [-method method] [-pad bytes] <path> [<header>:<value>]... [<body>]
// A path below /operator goes to the operator API with its token. PAD in the
// body stands for that many bytes.
func call(ts *testscript.TestScript, args []string) (string, error) {
	fs := flag.NewFlagSet("call", flag.ContinueOnError)
	at := fs.String("at", "leith-entry-0", "")
	key := fs.String("key", "press-key", "")
	method := fs.String("method", http.MethodPost, "")
	pad := fs.Int("pad", 0, "")
	ts.Check(fs.Parse(args))
	i, err := fleet(ts).Instance(*at)
	ts.Check(err)
	path, rest, body := fs.Arg(0), fs.Args()[1:], ""
	if n := len(rest); n > 0 && (strings.HasPrefix(rest[n-1], "{") || !strings.Contains(rest[n-1], ":")) {
		rest, body = rest[:n-1], strings.ReplaceAll(rest[n-1], "PAD", strings.Repeat("a", *pad))
	}
	address := i.Caller
	if strings.HasPrefix(path, "/operator") || strings.HasSuffix(path, "z") {
		address = i.Operator
	}
	req, err := http.NewRequest(*method, "http://"+address+path, strings.NewReader(body))
	ts.Check(err)
	// net/http retries a request with an Idempotency-Key when its connection breaks, unless
	// GetBody is nil.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+*key)
	for _, h := range rest {
		name, value, _ := strings.Cut(h, ":")
		req.Header.Set(name, value)
	}
	return sendRequest(req)
}

// client opens a connection for each call. An idle connection would be broken after the
// restart of an instance.
var client = &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

func sendRequest(req *http.Request) (string, error) {
	resp, err := client.Do(req)
	if err != nil {
		return "", errors.Wrap(err, "call")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", errors.Wrap(err, "call")
	}
	out := fmt.Sprintf("%d %s\nRetry-After: %s\nX-Request-Id: %s\n", resp.StatusCode, resp.Header.Get("Content-Type"),
		presence(resp, "Retry-After"), presence(resp, "X-Request-Id"))
	body, kind := string(data), resp.Header.Get("Content-Type")
	switch {
	case resp.StatusCode >= http.StatusBadRequest && strings.HasPrefix(kind, "application/json"):
		err = checkRefusal(resp, data)
	case strings.HasPrefix(kind, "text/event-stream"):
		body, err = joinStream(data)
	}
	return out + normalise(body), err
}

func presence(resp *http.Response, header string) string {
	if resp.Header.Get(header) == "" {
		return "absent"
	}
	return "present"
}

// checkRefusal checks that a refusal has all fields that programs read, and that its header
// and body name the same time for a retry.
func checkRefusal(resp *http.Response, data []byte) error {
	var r struct {
		Error struct {
			Code, Message, Run string
			RetryAfterMS       int64 `json:"retry-after-ms"`
		}
	}
	if err := json.Unmarshal(data, &r); err != nil || r.Error.Code == "" || r.Error.Message == "" || r.Error.Run == "" {
		return errors.Errorf("got refusal %q, error %v, want JSON with code, message and run", data, err)
	}
	want := ""
	if r.Error.RetryAfterMS > 0 {
		want = strconv.FormatInt((r.Error.RetryAfterMS+999)/1000, 10)
	}
	if got := resp.Header.Get("Retry-After"); got != want {
		return errors.Errorf("got Retry-After %q, want %q for %s", got, want, data)
	}
	return nil
}

// joinStream joins the texts of an event stream, because the distribution of tokens over
// chunks depends on timing.
func joinStream(data []byte) (string, error) {
	var text, rest strings.Builder
	for line := range strings.Lines(string(data)) {
		chunk, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		var c struct {
			Choices []struct {
				Text  string
				Delta struct{ Content string }
			}
		}
		switch {
		case line == "\n" || strings.HasPrefix(line, ":"):
		case !ok || chunk == "[DONE]":
			rest.WriteString(line)
		case json.Unmarshal([]byte(chunk), &c) != nil || len(c.Choices) != 1:
			return "", errors.Errorf("chunk %q is not JSON with one choice", chunk)
		default:
			text.WriteString(c.Choices[0].Text + c.Choices[0].Delta.Content)
		}
	}
	return "text: " + text.String() + "\n" + rest.String(), nil
}
