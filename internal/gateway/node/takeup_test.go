package node

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
	"github.com/baobabdyke/baobabdyke/internal/fleet/origin"
	"github.com/baobabdyke/baobabdyke/platform"
)

// A takeUpBed is a testbed whose engines break off each stream after two events. They go on with
// it when it is taken up, and in the same response if its id begins with "resumed".
type takeUpBed struct {
	*testbed
	streams int
}

func newTakeUpBed(t *testing.T) *takeUpBed {
	t.Helper()
	b := &takeUpBed{testbed: newTestbed(t)}
	for _, e := range b.engines {
		e.SetResponse(func(run fake.SiteRun) string {
			last := run.Header.Get("Last-Event-Id")
			switch {
			case last == "":
				return respond(run, "200 OK", sealed+eventType, "cut", events(1, 2))
			case strings.HasPrefix(run.ID, "stream"):
				return respond(run, "503 Service Unavailable", notRun, "length", "")
			}
			n, _ := strconv.Atoi(last)
			return respond(run, "200 OK", sealed+eventType, "chunked", events(n+1, 6))
		})
	}
	return b
}

// listEngine lists an engine with a version of its software.
func (b *takeUpBed) listEngine(i int, version string) {
	id := fmt.Sprintf("llm-%d", i)
	b.store.Put("servers", id, map[string]any{
		"service": "llm", "address": b.addresses[id], "zone": "z", "slots": 4, "state": "ready", "sequence": 1, "born": 5, "version": version,
		"models": []map[string]any{{"name": "m", "version": 1}},
	})
}

// end stops a VM.
func (v *testVM) end() {
	v.t.Helper()
	v.stop()
	must.NoError(v.t, <-v.done)
	v.done <- nil
}

// begin begins a stream at a VM, which is broken off, and returns its id and its engine.
func (b *takeUpBed) begin(t *testing.T, v *testVM, prefix string) (id string, engine int) {
	t.Helper()
	b.streams++
	id = fmt.Sprintf("%s-%d", prefix, b.streams)
	before := [2]int{len(b.engines[0].Runs()), len(b.engines[1].Runs())}
	got := v.request("/stream/a/", id)
	must.Error(t, got.err)
	must.Eq(t, events(1, 2), got.body)
	for i, e := range b.engines {
		if len(e.Runs()) > before[i] {
			engine = i
		}
	}
	return id, engine
}

// takeUp takes a stream up at a VM.
func (b *takeUpBed) takeUp(v *testVM, resumes string) result {
	b.streams++
	headers := []string{"Last-Event-Id", "2"}
	if resumes != "" {
		headers = append(headers, "Resumes", resumes)
	}
	return v.request("/stream/a/", fmt.Sprintf("takeup-%d", b.streams), headers...)
}

// assertGoesOn checks that a stream that is taken up goes on at the engine that began it, as
// soon as the VM has been told of it.
func (b *takeUpBed) assertGoesOn(t *testing.T, v *testVM, id string, engine int) {
	t.Helper()
	before := len(b.engines[engine].Runs())
	var got result
	eventually(t, func() bool {
		got = b.takeUp(v, id)
		return got.status != http.StatusServiceUnavailable
	})
	must.NoError(t, got.err)
	must.Eq(t, http.StatusOK, got.status, must.Sprint(got.body))
	must.Eq(t, events(3, 6), got.body)
	must.Eq(t, before+1, len(b.engines[engine].Runs()), must.Sprint("the stream goes on at the other version"))
}

// assertRefused checks that a stream that is taken up is refused without a run.
func (b *takeUpBed) assertRefused(t *testing.T, v *testVM, id string) {
	t.Helper()
	before := runs(b.engines)
	got := b.takeUp(v, id)
	must.NoError(t, got.err)
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.NotEq(t, "", got.header.Get("Retry-After"))
	must.Eq(t, before, runs(b.engines))
}

// awaitRecord waits until a stream is in a record in the store.
func (b *takeUpBed) awaitRecord(t *testing.T, id string) {
	t.Helper()
	objects := platform.NewObjects(b.address, nil)
	key := binary.BigEndian.AppendUint64(nil, uint64(origin.KeyOf("llm", "c", id)))
	eventually(t, func() bool {
		records, err := objects.List(t.Context(), origin.Kind+"/")
		must.NoError(t, err)
		for _, o := range records {
			var r struct{ Streams map[string][]byte }
			must.NoError(t, json.Unmarshal(o.Value, &r))
			for _, keys := range r.Streams {
				for chunk := range slices.Chunk(keys, len(key)) {
					if bytes.Equal(chunk, key) {
						return true
					}
				}
			}
		}
		return false
	})
}

// TestStreamGoesOnAtItsVersionOnly guards against an answer that is joined from what targets of
// two software versions wrote, in one response or in those to a caller's several tries.
func TestStreamGoesOnAtItsVersionOnly(t *testing.T) {
	b := newTakeUpBed(t)
	b.listEngine(0, "v1")
	b.listEngine(1, "v2")
	v1 := b.start("vm-1")
	v1.ready()
	v2 := b.start("vm-2", v1.settings.Peers.Address)
	v3 := b.start("vm-3", v1.settings.Peers.Address)
	vms := []*testVM{v1, v2, v3}
	for _, v := range vms {
		v.ready()
		eventually(t, func() bool { return len(v.roster.Members()) == 2 && len(v.source.View().Targets) == 4 })
	}

	t.Run("in one response", func(t *testing.T) {
		for range 5 {
			b.begin(t, v1, "resumed")
		}
	})
	t.Run("taken up at any VM", func(t *testing.T) {
		for i := range 9 {
			id, engine := b.begin(t, vms[i%3], "stream")
			b.assertGoesOn(t, vms[i/3], id, engine)
		}
	})
	t.Run("broken off again and again", func(t *testing.T) {
		id, engine := b.begin(t, v1, "stream")
		for i := range 6 {
			b.assertGoesOn(t, vms[(i+1)%3], id, engine)
		}
	})
	t.Run("taken up without or with an unknown name", func(t *testing.T) {
		for _, name := range []string{"", "unknown", "\xff\x80", strings.Repeat("x", 5000), "a,b", "stream-1;"} {
			b.assertRefused(t, v2, name)
		}
	})
	t.Run("the VM that began it is gone", func(t *testing.T) {
		id, engine := b.begin(t, v3, "stream")
		b.awaitRecord(t, id)
		v3.end()
		b.assertGoesOn(t, v2, id, engine)
	})
	t.Run("all VMs have started anew", func(t *testing.T) {
		ids, engines := make([]string, 4), make([]int, 4)
		for i := range ids {
			ids[i], engines[i] = b.begin(t, vms[i%2], "stream")
		}
		for _, id := range ids {
			b.awaitRecord(t, id)
		}
		v1.end()
		v2.end()
		v1 = b.start("vm-1")
		v1.ready()
		for i, id := range ids {
			b.assertGoesOn(t, v1, id, engines[i])
		}
		b.assertRefused(t, v1, "unknown")
	})
	t.Run("its version is gone", func(t *testing.T) {
		id, engine := b.begin(t, v1, "stream")
		b.awaitRecord(t, id)
		b.store.Remove("servers", fmt.Sprintf("llm-%d", engine))
		eventually(t, func() bool { return len(v1.source.View().Targets) == 3 })
		b.assertRefused(t, v1, id)
		v1.end()
		v1 = b.start("vm-1")
		v1.ready()
		b.assertRefused(t, v1, id)
		b.assertRefused(t, v1, "unknown")
	})
}

// TestStreamGoesOnWithOneVersion guards against streams that are refused although the service
// has had one version only.
func TestStreamGoesOnWithOneVersion(t *testing.T) {
	b := newTakeUpBed(t)
	for i := range b.engines {
		b.listEngine(i, "v1")
		b.engines[i].SetResponse(func(run fake.SiteRun) string {
			if run.Header.Get("Last-Event-Id") == "" {
				return ""
			}
			return respond(run, "200 OK", sealed+eventType, "chunked", events(3, 6))
		})
	}
	v := b.start("vm-1")
	v.ready()
	eventually(t, func() bool { return strings.Contains(v.log.String(), "versions recorded") })
	for _, name := range []string{"", "unknown", "\xff\x80", strings.Repeat("x", 5000)} {
		got := b.takeUp(v, name)
		must.NoError(t, got.err)
		must.Eq(t, http.StatusOK, got.status, must.Sprint(name, got.body))
		must.Eq(t, events(3, 6), got.body)
	}
}
