package origin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
)

// recorded is the record of a service's versions in the object store.
type recorded struct {
	versions []string
	object   int64
}

// tell sends the recorders what they have not been told yet.
func (t *Task) tell(ctx context.Context) {
	t.mu.Lock()
	now := time.Now()
	t.versions.observe(t.opts.View(), now)
	mixed := t.versions.anyMixed
	t.mu.Unlock()
	if !mixed {
		return
	}
	var wg sync.WaitGroup
	others, _ := t.opts.Recorders()
	for _, to := range others {
		t.mu.Lock()
		streams, last := t.streams.since(t.told[to.VM], true, now)
		t.sent = max(t.sent, last)
		t.mu.Unlock()
		if len(streams) == 0 {
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			if err := t.opts.Peers.Call(ctx, to, CallTell, TellRequest{Streams: streams}, &struct{}{}); err != nil {
				// They are told with later ones.
				return
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			t.told[to.VM] = last
		})
	}
	wg.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	for vm := range t.told {
		// A VM that records again may have started anew.
		if !slices.ContainsFunc(others, func(d peer.Destination) bool { return d.VM == vm }) {
			delete(t.told, vm)
		}
	}
}

// write writes what has changed of the services' versions, and the streams that are new, if this
// VM is a recorder.
func (t *Task) write(ctx context.Context) {
	if _, self := t.opts.Recorders(); !self {
		return
	}
	t.mu.Lock()
	t.versions.observe(t.opts.View(), time.Now())
	changed := map[string][]string{}
	for service := range t.versions.listed {
		if versions := t.versions.of(service); len(versions) > 0 && !slices.Equal(versions, t.recorded[service].versions) {
			changed[service] = versions
		}
	}
	t.mu.Unlock()
	for service, versions := range changed {
		t.writeVersions(ctx, service, versions)
	}
	if !t.writePage(ctx) {
		t.writePage(ctx)
	}
}

// writeVersions records the versions of a service.
func (t *Task) writeVersions(ctx context.Context, service string, versions []string) {
	value, err := json.Marshal(record{Service: service, Versions: versions})
	if err != nil {
		return
	}
	t.mu.Lock()
	expect := t.recorded[service].object
	t.mu.Unlock()
	switch r := t.opts.Store.Put(ctx, versionsKey(service), value, expect).(type) {
	case store.Done:
		_ = t.opts.Log.Log("msg", "versions recorded", "service", service, "versions", strings.Join(versions, ","))
		t.mu.Lock()
		defer t.mu.Unlock()
		t.recorded[service] = recorded{versions, r.Version}
	case store.Conflict:
		// Another recorder wrote it, or an earlier process of this VM. What it says counts as
		// listed lately.
		if object, err := t.opts.Store.Get(ctx, versionsKey(service)); err == nil {
			t.learnRecord(object, filed)
		}
	case store.NotSent, store.Unknown:
	}
}

// writePage writes the streams that are new to a page, while a service has several versions. It
// returns false if the page had to be taken over first.
func (t *Task) writePage(ctx context.Context) bool {
	t.mu.Lock()
	now := time.Now()
	if !t.versions.anyMixed || t.streams.added <= t.written {
		t.mu.Unlock()
		return true
	}
	if t.written > t.pageFrom && now.Sub(t.pageStart) >= pageTime {
		t.page, t.pageFrom, t.pageStart = (t.page+1)%pages, t.written, now
	}
	streams, last := t.streams.since(t.pageFrom, false, now)
	t.sent = max(t.sent, last)
	page, expect := t.page, t.pageVersions[t.page]
	t.mu.Unlock()
	value, err := json.Marshal(record{Streams: encode(streams)})
	if err != nil {
		return true
	}
	result := t.opts.Store.Put(ctx, pageKey(t.opts.VM, page), value, expect)
	switch r := result.(type) {
	case store.Done:
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.written == 0 {
			_ = t.opts.Log.Log("msg", "streams recorded", "streams", len(streams), "bytes", len(value))
		}
		t.pageVersions[page], t.written = r.Version, last
	case store.Conflict:
		t.takeOver(ctx, page)
		return false
	case store.NotSent, store.Unknown:
	}
	return true
}

// versionsKey returns the key of the object with the versions of a service. It is no page: ids of
// VMs contain no colon.
func versionsKey(service string) string { return Kind + "/service:" + service }

// pageKey returns the key of one of a VM's objects.
func pageKey(vm string, page int64) string { return fmt.Sprintf("%s/%s-%d", Kind, vm, page) }

// Forget removes the objects of a VM that is gone.
func (t *Task) Forget(ctx context.Context, vm string) {
	objects, err := t.opts.Store.List(ctx, Kind+"/"+vm+"-")
	if err != nil {
		// They stay, and are read with the others.
		return
	}
	for _, o := range objects {
		for page := range pages {
			if o.Key == pageKey(vm, page) {
				t.opts.Store.Delete(ctx, o.Key, o.Version)
			}
		}
	}
}

// takeOver learns the streams in a page, which an earlier process of this VM wrote, or a write
// that took effect late. The next write then replaces it.
func (t *Task) takeOver(ctx context.Context, page int64) {
	object, err := t.opts.Store.Get(ctx, pageKey(t.opts.VM, page))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return
	}
	if err == nil {
		t.learnRecord(object, told)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pageVersions[page] = object.Version
}
