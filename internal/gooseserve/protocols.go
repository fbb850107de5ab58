package gooseserve

import (
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// protocols shares one client of each backend protocol between the components
// of the instance, so that they share connections.
type protocols struct {
	mu      sync.Mutex
	clients map[string]goose.Protocol
}

func newProtocols() *protocols { return &protocols{clients: map[string]goose.Protocol{}} }

// get returns the client of a protocol.
func (p *protocols) get(name string) (goose.Protocol, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if client, ok := p.clients[name]; ok {
		return client, nil
	}
	client, err := goose.NewProtocol(name)
	if err != nil {
		return nil, err
	}
	p.clients[name] = client
	return client, nil
}

// clientOrNil returns nil for an unknown protocol. Validation of the
// configuration rejects unknown protocols.
func (p *protocols) clientOrNil(name string) goose.Protocol {
	client, err := p.get(name)
	if err != nil {
		return nil
	}
	return client
}

// writeMetrics writes the metrics of the application and of the process.
func writeMetrics(w io.Writer) { metrics.WritePrometheus(w, true) }
