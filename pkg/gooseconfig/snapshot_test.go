package gooseconfig_test

import (
	"fmt"
	"sync"
	"testing"

	_ "github.com/gooseberryhold/gooseberryhold/internal/gooserapid"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseconfig"

	"pgregory.net/rapid"
)

// Guards against a source that returns to an older version when versions arrive out
// of order, and against a new version that does not close the channel of WatchCurrent.
func TestSourceVersionsIncrease(t *testing.T) {
	t.Parallel()
	source := gooseconfig.NewSource()
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			last := int64(0)
			for n := range 500 {
				v := int64(n*7919%500) + int64(i)
				_, changed := source.WatchCurrent()
				adopted := source.Adopt(gooseconfig.NewSnapshot(v, &goose.Configuration{}))
				if adopted {
					<-changed
				}
				got := source.Current().Version()
				if got < last || got < v {
					t.Errorf("got version %d after %d and %d", got, last, v)
				}
				last = got
			}
		})
	}
	wg.Wait()
	if source.Adopt(gooseconfig.NewSnapshot(source.Current().Version(), &goose.Configuration{})) {
		t.Error("the same version was adopted twice")
	}
}

// Guards against an API key that identifies another workspace, and against partial
// matches of keys.
func TestWorkspaceByKey(t *testing.T) {
	t.Parallel()
	c := newConfiguration(3)
	c.Workspaces[1].KeyHashes = []string{sha256Hex("old"), sha256Hex("new")}
	// This hash shares the first 8 bytes, by which hashes are indexed, with another.
	c.Workspaces[2].KeyHashes = []string{sha256Hex("new")[:60] + "0000"}
	s := gooseconfig.NewSnapshot(1, c)
	for key, want := range map[string]goose.WorkspaceName{"old": "workspace-1", "new": "workspace-1", "": "", "news": ""} {
		if got, ok := s.WorkspaceByKey(key); got.Name != want || ok != (want != "") {
			t.Errorf("key %q: got %q, %t, want %q", key, got.Name, ok, want)
		}
	}
}

// Guards against selectors that grant a backend server to the wrong workspace or
// deny it to the right one: the index must agree with wantAllowed, which applies
// the rule of the design directly.
func TestAllowedAgreesWithSelectors(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfiguration(t)
		s := gooseconfig.NewSnapshot(1, c)
		for _, w := range c.Workspaces {
			for _, service := range c.Services {
				var centres []goose.DataCentre
				for _, dc := range c.DataCentres {
					pool := goose.Pool{DataCentre: dc.Name, Service: service.Name}
					got, want := names(s.Allowed(w.Name, pool)), names(wantAllowed(c, w, service, dc))
					if got != want {
						t.Fatalf("%s in %s: got %s, want %s", w.Name, pool, got, want)
					}
					if want != "" {
						centres = append(centres, dc.Name)
					}
				}
				if got := fmt.Sprint(s.DataCentresFor(w.Name, service.Name)); got != fmt.Sprint(centres) {
					t.Fatalf("%s to %s: got %s, want %s", w.Name, service.Name, got, centres)
				}
			}
		}
	})
}

// wantAllowed applies the rule: a workspace may use a server if a selector matches
// the request and the server, or if no selector's services map matches the service.
func wantAllowed(c *goose.Configuration, w goose.WorkspaceSpec, service goose.ServiceSpec, dc goose.DataCentreSpec) []goose.BackendServer {
	unrestricted := true
	for _, sel := range c.Selectors {
		unrestricted = unrestricted && !service.Labels.Match(sel.Services)
	}
	var out []goose.BackendServer
	for _, b := range c.BackendServers {
		if b.Service != service.Name || b.DataCentre != dc.Name || b.State == goose.StateLeaving || dc.State == goose.StateLeaving {
			continue
		}
		ok := unrestricted
		for _, sel := range c.Selectors {
			ok = ok || w.Labels.Match(sel.Workspaces) && service.Labels.Match(sel.Services) &&
				b.Labels.Match(sel.BackendServers) && dc.Labels.Match(sel.DataCentres)
		}
		if ok {
			out = append(out, b)
		}
	}
	return out
}

func names(servers []goose.BackendServer) string {
	out := ""
	for _, b := range servers {
		out += string(b.Name) + " "
	}
	return out
}

func drawConfiguration(t *rapid.T) *goose.Configuration {
	labels := rapid.Custom(func(t *rapid.T) goose.Labels {
		return rapid.MapOfN(rapid.SampledFrom([]string{"a", "b"}), rapid.SampledFrom([]string{"1", "2"}), 0, 2).Draw(t, "labels")
	})
	state := rapid.SampledFrom([]goose.AdminState{goose.StateActive, goose.StateActive, goose.StateLeaving})
	c := &goose.Configuration{}
	for i := range 3 {
		c.Services = append(c.Services, goose.ServiceSpec{Name: goose.ServiceName(fmt.Sprintf("s%d", i)), Labels: labels.Draw(t, "service")})
		c.DataCentres = append(c.DataCentres, goose.DataCentreSpec{Name: goose.DataCentre(fmt.Sprintf("d%d", i)), State: state.Draw(t, "state"), Labels: labels.Draw(t, "data centre")})
	}
	for i := range 6 {
		c.Workspaces = append(c.Workspaces, goose.WorkspaceSpec{Name: goose.WorkspaceName(fmt.Sprintf("w%d", i)), Labels: labels.Draw(t, "workspace")})
	}
	for i := range rapid.IntRange(0, 10).Draw(t, "selectors") {
		c.Selectors = append(c.Selectors, goose.Selector{
			Name: fmt.Sprintf("sel%d", i), Workspaces: labels.Draw(t, "w"), Services: labels.Draw(t, "s"),
			BackendServers: labels.Draw(t, "b"), DataCentres: labels.Draw(t, "d"),
		})
	}
	for i := range 18 {
		c.BackendServers = append(c.BackendServers, goose.BackendServer{
			Name: goose.ReplicaID(fmt.Sprintf("b%d", i)), Service: c.Services[i%3].Name, DataCentre: c.DataCentres[i/6].Name,
			State: state.Draw(t, "server state"), Labels: labels.Draw(t, "server"),
		})
	}
	return c
}
