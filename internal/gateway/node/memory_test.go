package node

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/gateway/intake"
)

// exchangeRaw sends text on a connection and returns the statuses of all responses until the
// VM closes it.
func (v *testVM) exchangeRaw(text string) (statuses []int) {
	v.t.Helper()
	c := v.dial()
	_, err := io.WriteString(c, text)
	must.NoError(v.t, err)
	must.NoError(v.t, c.SetReadDeadline(time.Now().Add(time.Minute)))
	r := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return statuses
		}
		statuses = append(statuses, resp.StatusCode)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.Close {
			return statuses
		}
	}
}

func headOf(path, key, framing string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nBaobabdyke-Request-Id: r\r\nBaobabdyke-Credential: " + key +
		"\r\nBaobabdyke-Deadline-Ms: 700\r\n" + framing + "\r\n\r\n"
}

// TestRefusedBeforeBody guards against bodies that are read although the configuration does
// not permit their requests, and against the rest of such a body that is taken for a request.
func TestRefusedBeforeBody(t *testing.T) {
	b := newTestbed(t)
	v := b.start("vm-1")
	v.ready()
	hidden := rawRequest("/commit/", "hidden", 0)
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"unknown key, body that does not come":    {headOf("/commit/", "other", "Content-Length: 1000000"), http.StatusUnauthorized},
		"unknown route, body that does not come":  {headOf("/nowhere/", "key", "Transfer-Encoding: chunked"), http.StatusNotFound},
		"unknown key, request in a large body":    {headOf("/commit/", "other", "Content-Length: 1000000") + hidden, http.StatusUnauthorized},
		"unknown key, request in chunks":          {headOf("/commit/", "other", "Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s", len(hidden), hidden), http.StatusUnauthorized},
		"body over the limit, request in it":      {headOf("/commit/", "key", "Content-Length: 100000000") + hidden, http.StatusRequestEntityTooLarge},
		"body that does not come within its time": {headOf("/commit/", "key", "Content-Length: 1000") + hidden[:10], http.StatusRequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, []int{c.status}, v.exchangeRaw(c.text))
			must.Eq(t, 0, runs(b.apps))
		})
	}
	t.Run("a connection with a small refused body goes on", func(t *testing.T) {
		text := headOf("/commit/", "other", fmt.Sprint("Content-Length: ", len(hidden))) + hidden +
			strings.Replace(headOf("/commit/", "key", "Content-Length: 0"), "Host: h\r\n", "Host: h\r\nConnection: close\r\n", 1)
		must.Eq(t, []int{http.StatusUnauthorized, http.StatusOK}, v.exchangeRaw(text))
		must.Eq(t, 1, runs(b.apps))
	})
	eventually(t, func() bool { return v.memory.Vars().(map[string]int64)["used_bodies"] == 0 })
}

// TestKeyWithdrawnWhileBodyArrives guards against a request that runs with a key that was
// withdrawn before its body was whole.
func TestKeyWithdrawnWhileBodyArrives(t *testing.T) {
	b := newTestbed(t)
	v := b.start("vm-1")
	v.ready()
	c := v.dial()
	_, err := io.WriteString(c, strings.Replace(headOf("/commit/", "key", "Content-Length: 10"), "Ms: 700", "Ms: 60000", 1)+"12345")
	must.NoError(t, err)
	eventually(t, func() bool { return v.memory.Vars().(map[string]int64)["used_bodies"] > 0 })
	b.version++
	version := int64(b.version)
	b.store.PutRaw("config", "main", []byte(strings.ReplaceAll(fmt.Sprintf(configuration, b.version, 0, 0), `"key"`, `"new"`)))
	eventually(t, func() bool { return v.source.View().Config.Version == version })
	_, err = io.WriteString(c, "67890")
	must.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.Eq(t, http.StatusUnauthorized, resp.StatusCode)
	must.Eq(t, 0, runs(b.apps))
}

// TestFullMemory guards against requests that are taken although there is no memory for them,
// and against a VM that does not recover from that.
func TestFullMemory(t *testing.T) {
	b := newTestbed(t)
	v := b.start("vm-1")
	v.ready()
	c := v.dial()
	eventually(t, func() bool { return v.openConns.Load() > 0 })
	// Room is left for the header of a request only.
	const piece = 8 << 10
	v.memory.SetLimit(1 << 20)
	filled := int64(0)
	for v.memory.Reserve(intake.Answers, piece) {
		filled += piece
	}
	v.memory.Release(intake.Answers, piece)
	_, err := io.WriteString(c, headOf("/commit/", "key", "Content-Length: 0"))
	must.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	must.NotEq(t, "", resp.Header.Get("Retry-After"))
	must.True(t, resp.Close)
	must.Eq(t, 0, runs(b.apps))
	v.memory.Release(intake.Answers, filled-piece)
	must.Eq(t, http.StatusOK, v.request("/commit/", "r").status)
}
