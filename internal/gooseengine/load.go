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
	if err := reports.fetch(ctx, address, resp); err != nil {
		return goose.LoadReport{}, err
	}
	if s := resp.StatusCode(); s < 200 || s > 299 {
		return goose.LoadReport{}, &goose.StatusError{Status: s, Body: string(resp.Body()), Wish: wishOf(resp)}
	}
	r, err := parseLoad(resp.Body())
	r.Wish = wishOf(resp)
	return r, errors.Wrapf(err, "load report of %s", address)
}

// parseLoad parses the metrics of an engine in the Prometheus text format; metrics
// with other names are skipped.
func parseLoad(b []byte) (goose.LoadReport, error) {
	var r goose.LoadReport
	sc := bufio.NewScanner(bytes.NewReader(b))
	sc.Buffer(nil, maxEventBytes)
	for sc.Scan() {
		line := strings.TrimSpace(sc.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		if err := parseMetric(&r, line); err != nil {
			return goose.LoadReport{}, err
		}
	}
	if r.Process == "" && sc.Err() == nil {
		return r, errors.New("metric engine_process_info is missing")
	}
	return r, sc.Err()
}

func parseMetric(r *goose.LoadReport, line string) error {
	name, labels, value := splitMetric(line)
	var target *int
	switch name {
	case "engine_process_info":
		r.Process = labelValue(labels, "process")
		return nil
	case "engine_model_info":
		r.Model = labelValue(labels, "model")
		return nil
	case "engine_cold":
		r.Cold = value != "0"
		return nil
	case "engine_requests_running":
		target = &r.Running
	case "engine_requests_waiting":
		target = &r.Waiting
	case "engine_kv_tokens_used":
		target = &r.UsedKV
	case "engine_kv_tokens_capacity":
		target = &r.Capacity
	default:
		return nil
	}
	v, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return errors.Errorf("metric %s has the invalid value %q", name, value)
	}
	*target = int(v)
	return nil
}

// splitMetric splits a line `name{labels} value timestamp`; labels may contain spaces.
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

// labelValue returns the unescaped value of a label, or an empty string if it is missing.
func labelValue(labels, name string) string {
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
