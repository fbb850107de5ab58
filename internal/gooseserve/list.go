package gooseserve

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// maxListBytes bounds the platform's response; 330 instances take about 40 KB.
const maxListBytes = 4 << 20

// instanceList reads the platform's list of instances. A list with an entity
// tag is requested with If-None-Match: every instance reads the list every 2 s,
// and without the condition each of 330 instances would receive 15 KB/s.
type instanceList struct {
	url    string
	client *fasthttp.Client
	// lastTagged is the last list that had an entity tag.
	lastTagged atomic.Pointer[taggedList]
}

type taggedList struct {
	tag     string
	members []goose.Member
}

func newInstanceList(url string) *instanceList {
	return &instanceList{url: url, client: &fasthttp.Client{
		NoDefaultUserAgentHeader:  true,
		MaxResponseBodySize:       maxListBytes,
		MaxIdemponentCallAttempts: 1,
	}}
}

type listedInstance struct {
	Name       goose.InstanceID `json:"name"`
	DataCentre goose.DataCentre `json:"data-centre"`
	Address    string           `json:"address"`
	State      string           `json:"state"`
}

// Instances implements goosemember.InstanceLister.
func (l *instanceList) Instances(ctx context.Context) ([]goose.Member, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(time.Second)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(l.url)
	last := l.lastTagged.Load()
	if last != nil {
		req.Header.Set(fasthttp.HeaderIfNoneMatch, last.tag)
	}
	if err := l.client.DoDeadline(req, resp, deadline); err != nil {
		return nil, errors.Wrap(err, "instance list")
	}
	if last != nil && resp.StatusCode() == fasthttp.StatusNotModified {
		return slices.Clone(last.members), nil
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Errorf("instance list: status %d", resp.StatusCode())
	}
	members, err := decodeList(resp.Body())
	if err != nil {
		return nil, err
	}
	l.lastTagged.Store(nil)
	if tag := resp.Header.Peek(fasthttp.HeaderETag); len(tag) > 0 {
		l.lastTagged.Store(&taggedList{tag: string(tag), members: slices.Clone(members)})
	}
	return members, nil
}

func decodeList(body []byte) ([]goose.Member, error) {
	var response struct {
		Instances []listedInstance `json:"instances"`
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return nil, errors.Wrap(err, "instance list")
	}
	members := make([]goose.Member, 0, len(response.Instances))
	for _, i := range response.Instances {
		members = append(members, goose.Member{
			Instance: i.Name, DataCentre: i.DataCentre, Address: i.Address,
			Leaving: i.State != "live",
		})
	}
	return members, nil
}
