package goosesoak

import (
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseplatformtest"
)

// inject starts one fault, ends it after its duration and returns.
func (f *fleet) inject(ft fault) {
	i := f.instances[ft.target%len(f.instances)]
	e := f.endpoints[ft.target%len(f.endpoints)]
	switch ft.kind {
	case faultKill, faultTerminate, faultFreeze, faultHangup:
		f.injectProcess(i, ft)
	case faultCallerLink:
		injectFor(ft, func() { i.callerProxy.setFault(ft.link, true) }, func() { i.callerProxy.setFault(linkHealthy, ft.deliverHeld) })
	case faultStoreLink:
		injectFor(ft, func() { i.storeProxy.setFault(ft.link, true) }, func() { i.storeProxy.setFault(linkHealthy, ft.deliverHeld) })
	case faultReplicaLink:
		injectFor(ft, func() { e.proxy.setFault(ft.link, true) }, func() { e.proxy.setFault(linkHealthy, ft.deliverHeld) })
	case faultStoreRefuses:
		injectFor(ft, func() { i.storeGate.setClosed(true) }, func() { i.storeGate.setClosed(false) })
	case faultStoreBusy:
		f.injectStore(ft, gooseplatformtest.FaultUnavailable)
	case faultStoreLosesResponses:
		f.injectStore(ft, gooseplatformtest.FaultLoseResponse)
	case faultStoreResets:
		f.injectStore(ft, gooseplatformtest.FaultResetConnection)
	case faultStoreCompacts:
		f.store.Compact()
	case faultLeasesExpire:
		f.store.ExpireLeases()
	case faultReplicaResponses:
		r := e.current()
		injectFor(ft, func() { r.setFault(ft.replica) }, func() { r.setFault(replicaHealthy) })
	case faultReplicaCrash, faultAddressReused, faultReplicaDrain:
		f.injectReplica(e, ft)
	case faultNewVersion:
		f.writeRouting()
	case faultEvacuate:
		key := "op/evacuate/" + dataCentres[ft.target%len(dataCentres)]
		injectFor(ft, func() { f.store.Put(key, "{}") }, func() { f.store.Delete(key) })
	case faultPeersUnreachable:
		f.injectUnreachablePeers(i, ft)
	case faultInvalidEntry:
		injectFor(ft, func() { f.store.Put("servers/rubbish", "\x00{") }, func() { f.store.Delete("servers/rubbish") })
	case faultStoreRestored:
		f.injectRestore(ft)
	case faultForeignEntry:
		f.injectForeignEntry(e, ft)
	}
}

func injectFor(ft fault, begin, end func()) {
	begin()
	time.Sleep(ft.duration)
	end()
}

func (f *fleet) injectStore(ft fault, fault gooseplatformtest.Fault) {
	injectFor(ft, func() { f.store.SetFault(func(string) gooseplatformtest.Fault { return fault }) }, func() { f.store.SetFault(nil) })
}

// injectRestore restores the store from a copy as old as the fault is long. Operators and replicas
// write their entries again afterwards.
func (f *fleet) injectRestore(ft fault) {
	restored := f.store.Copy()
	time.Sleep(ft.duration)
	before := f.store.Copy()
	f.store.Restore(restored)
	time.Sleep(rewriteDelay)
	f.store.WriteAgain(before, restored, func(key string) bool { return !strings.HasPrefix(key, "gooseberryhold/") })
}

// rewriteDelay is the time after which operators and replicas write their entries again.
const rewriteDelay = time.Second

// injectForeignEntry replaces a replica's entry by one of another writer, which names another
// service and lacks a field, has one of another type or one twice.
func (f *fleet) injectForeignEntry(e *endpoint, ft fault) {
	e.replaceMu.Lock()
	defer e.replaceMu.Unlock()
	r := e.current()
	good := r.storeEntry(e.proxy.address(), "ready")
	other := f.endpoints[(ft.target+3)%len(f.endpoints)].service
	foreign := spoilEntry(strings.Replace(good, fmt.Sprintf("%q", r.service), fmt.Sprintf("%q", other), 1), ft.target)
	injectFor(ft, func() { f.store.Put("servers/"+r.id, foreign) }, func() { f.store.Put("servers/"+r.id, r.storeEntry(e.proxy.address(), "ready")) })
}

// spoilEntry returns an entry with one field left out, of another type or twice.
func spoilEntry(good string, choice int) string {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal([]byte(good), &fields); err != nil {
		panic(err)
	}
	names := []string{"addr", "cold-left-ms", "seq", "service", "slots", "state", "version", "zone"}
	name := names[choice/spoilings%len(names)]
	twice := fmt.Sprintf("%s,%q:%s}", good[:len(good)-1], name, fields[name])
	switch choice % spoilings {
	case 0:
		delete(fields, name)
	case 1:
		fields[name] = json.RawMessage("[1]")
	default:
		return twice
	}
	text, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// spoilings is the number of ways in which spoilEntry changes a field.
const spoilings = 3

// injectUnreachablePeers replaces the address of every instance in the store by one on
// which no process listens, and restarts one instance during the fault.
func (f *fleet) injectUnreachablePeers(i *instance, ft fault) {
	var keys []string
	injectFor(ft, func() {
		keys = f.store.Keys("gooseberryhold/instances/")
		for _, key := range keys {
			f.store.Put(key, "127.0.0.1:9")
		}
		p := i.current()
		p.kill()
		i.startNext(p, f.bin)
	}, func() {
		for _, other := range f.instances {
			f.store.Put("gooseberryhold/instances/"+other.name, fmt.Sprintf("%s:%d", other.address, internalPort))
		}
	})
}

// injectProcess sends a signal to the instance's current process. If the signal ends the
// process, the next process is started.
func (f *fleet) injectProcess(i *instance, ft fault) {
	p := i.current()
	switch ft.kind {
	case faultHangup:
		p.signal(syscall.SIGHUP)
		return
	case faultFreeze:
		p.signal(syscall.SIGSTOP)
		time.Sleep(ft.duration)
		p.signal(syscall.SIGCONT)
		return
	case faultKill:
		p.kill()
	case faultTerminate:
		p.terminate(f.journal)
	}
	time.Sleep(ft.duration / 4)
	i.startNext(p, f.bin)
}

// startNext starts the instance's next process after p has ended, unless another fault
// has already done so.
func (i *instance) startNext(p *process, bin string) {
	i.startMu.Lock()
	defer i.startMu.Unlock()
	if i.current() == p {
		i.start(bin)
	}
}

// injectReplica ends the replica at an endpoint and starts another one at the same address.
func (f *fleet) injectReplica(e *endpoint, ft fault) {
	e.replaceMu.Lock()
	defer e.replaceMu.Unlock()
	r := e.current()
	switch ft.kind {
	case faultReplicaDrain:
		r.leave()
		f.store.Put("servers/"+r.id, r.storeEntry(e.proxy.address(), "draining"))
		time.Sleep(ft.duration)
	case faultAddressReused:
		// The new replica serves the address before the old entry is deleted.
		f.startReplica(e, f.endpoints[(ft.target+3)%len(f.endpoints)].service, r.dataCentre)
		time.Sleep(ft.duration)
		f.removeReplica(r)
		r = e.current()
	}
	f.removeReplica(r)
	time.Sleep(ft.duration / 4)
	f.startReplica(e, e.service, r.dataCentre)
}
