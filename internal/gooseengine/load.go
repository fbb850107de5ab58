package gooseengine

import (
	"bufio"
	"bytes"
	"context"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Load implements goose.Protocol.
func (OpenAI) Load(ctx context.Context, address string) (goose.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := reports.ask(ctx, address, resp); err != nil {
		return goose.LoadReport{}, err
	}
	if s := resp.StatusCode(); s < 200 || s > 299 {
		return goose.LoadReport{}, &goose.StatusError{Status: s, Body: string(resp.Body())}
	}
	r, err := parseLoad(resp.Body())
	return r, errors.Wrapf(err, "load report of %s", address)
}

// parseLoad reads the metrics of an engine in Prometheus' text format; metrics
// of other names are skipped.
func parseLoad(b []byte) (goose.LoadReport, error) {
	var r goose.LoadReport
	sc := bufio.NewScanner(bytes.NewReader(b))
	sc.Buffer(nil, maxEvent)
	for sc.Scan() {
		line := strings.TrimSpace(sc.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		if err := loadLine(&r, line); err != nil {
			return goose.LoadReport{}, err
		}
	}
	if r.Process == "" && sc.Err() == nil {
		return r, errors.New("no engine_process_info")
	}
	return r, sc.Err()
}

func loadLine(r *goose.LoadReport, line string) error {
	name, labels, value := splitMetric(line)
	var into *int
	switch name {
	case "engine_process_info":
		r.Process = labelOf(labels, "process")
		return nil
	case "engine_model_info":
		r.Model = labelOf(labels, "model")
		return nil
	case "engine_cold":
		r.Cold = value != "0"
		return nil
	case "engine_requests_running":
		into = &r.Running
	case "engine_requests_waiting":
		into = &r.Waiting
	case "engine_kv_tokens_used":
		into = &r.UsedKV
	case "engine_kv_tokens_capacity":
		into = &r.Capacity
	default:
		return nil
	}
	v, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return errors.Errorf("%s has value %q", name, value)
	}
	*into = int(v)
	return nil
}

// splitMetric cuts `name{labels} value timestamp`; labels may contain spaces.
func splitMetric(line string) (name, labels, value string) {
	rest := line
	if i := strings.IndexByte(line, '{'); i >= 0 {
		if j := strings.LastIndexByte(line, '}'); j > i {
			name, labels, rest = line[:i], line[i+1:j], line[j+1:]
		}
	}
	fields := strings.Fields(rest)
	if name == "" && len(fields) > 0 {
		name, fields = fields[0], fields[1:]
	}
	if len(fields) > 0 {
		value = fields[0]
	}
	return name, labels, value
}

// labelOf returns the value of one label; escapes are resolved.
func labelOf(labels, name string) string {
	i := strings.Index(labels, name+`="`)
	if i < 0 {
		return ""
	}
	quoted, err := strconv.QuotedPrefix(labels[i+len(name)+1:])
	if err != nil {
		return ""
	}
	v, err := strconv.Unquote(quoted)
	if err != nil {
		return ""
	}
	return v
}
