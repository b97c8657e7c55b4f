package abuse

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
)

const (
	// bodies is the number of callers with large bodies. Together they are more than
	// twice the memory of the smallest VM.
	bodies = 60
	// heads is the number of callers that send no whole request.
	heads = 2500
)

var (
	// smallest is the smallest VM that operators use, and small one on which as many clients
	// as a test can run show the same.
	smallest = machine{memory: 112, files: 3075}
	small    = machine{memory: 64, files: 4096}
	// scarce has fewer descriptors than there are clients.
	scarce = machine{memory: 112, files: 2000}
)

// head returns the head of a request whose body is framed as stated.
func head(framing string) string {
	return "POST /commit/a HTTP/1.1\r\nHost: h\r\nBaobabdyke-Request-Id: abuse\r\nBaobabdyke-Credential: key\r\n" +
		"Baobabdyke-Deadline-Ms: 60000\r\n" + framing + "\r\n\r\n"
}

// sendAll sends texts one after the other.
func sendAll(texts ...string) caller {
	return func(c net.Conn) error {
		for _, text := range texts {
			if _, err := io.WriteString(c, text); err != nil {
				return err
			}
		}
		return nil
	}
}

// repeat sends a text and then another one n times.
func repeat(first, next string, n int) caller {
	return func(c net.Conn) error {
		if _, err := io.WriteString(c, first); err != nil {
			return err
		}
		for range n {
			if _, err := io.WriteString(c, next); err != nil {
				return err
			}
		}
		return nil
	}
}

// chunks returns n chunks of the given size.
func chunks(size, n int) string {
	return strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)), n)
}

// TestHeaders guards against memory that headers over the limit take, and those without an
// end, before they are refused.
func TestHeaders(t *testing.T) {
	line := "X-Filler: " + strings.Repeat("f", 1000) + "\r\n"
	t.Run("over the limit", func(t *testing.T) {
		start(t, small).mustSurvive("callers", heads, sendAll(head(strings.Repeat(line, 100)+"Content-Length: 0")))
	})
	t.Run("without end", func(t *testing.T) {
		start(t, small).mustSurvive("callers", heads, repeat("GET /lookup/a HTTP/1.1\r\nHost: h\r\n", line, 60))
	})
	t.Run("one line without end", func(t *testing.T) {
		start(t, small).mustSurvive("callers", heads, repeat("GET /lookup/a HTTP/1.1\r\nHost: h\r\nX-Filler: ", strings.Repeat("f", 1000), 60))
	})
}

// TestEmptyLines guards against callers that send empty lines in place of a request and use
// up the descriptors.
func TestEmptyLines(t *testing.T) {
	start(t, scarce).mustSurvive("callers", heads, repeat("", strings.Repeat("\r\n", 500), 100))
}

// TestWholeBodies guards against the memory of many large bodies that are sent at once.
func TestWholeBodies(t *testing.T) {
	start(t, smallest).mustSurvive("callers", bodies, sendAll(head(fmt.Sprint("Content-Length: ", maxBody)), strings.Repeat("x", maxBody)))
}

// TestUnfinishedBodies guards against callers that stop just short of the end of a body and
// stay connected.
func TestUnfinishedBodies(t *testing.T) {
	t.Run("with a length", func(t *testing.T) {
		piece := strings.Repeat("x", 64<<10)
		start(t, smallest).mustSurvive("callers", bodies, repeat(head(fmt.Sprint("Content-Length: ", maxBody)), piece, maxBody/len(piece)-1))
	})
	t.Run("in large chunks", func(t *testing.T) {
		start(t, smallest).mustSurvive("callers", bodies, sendAll(head("Transfer-Encoding: chunked"), chunks(64<<10, maxBody/(64<<10)-1)))
	})
	t.Run("in chunks of one byte", func(t *testing.T) {
		start(t, smallest).mustSurvive("callers", bodies, repeat(head("Transfer-Encoding: chunked"), chunks(1, 4096), 3<<20/4096))
	})
}

// TestUnreadAnswers guards against callers that don't read their answers.
func TestUnreadAnswers(t *testing.T) {
	v := start(t, small)
	text := strings.Repeat("x", 60<<10)
	v.target.SetResponse(func(run fake.SiteRun) string {
		if run.ID == "ordinary" {
			return respond(run, "ok")
		}
		return respond(run, text)
	})
	v.mustSurvive("callers", 1800, sendAll(strings.Replace(head("Content-Length: 0"), "POST /commit/", "POST /lookup/", 1)))
}

// respond returns a sealed response.
func respond(run fake.SiteRun, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nBaobabdyke-Request-Id: %s\r\nBaobabdyke-Response-Seal: s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		run.ID, len(body), body)
}

// TestSlowSenders guards against callers that send a byte every few seconds and use up the
// descriptors.
func TestSlowSenders(t *testing.T) {
	drip := func(first string) caller {
		return func(c net.Conn) error {
			if _, err := io.WriteString(c, first); err != nil {
				return err
			}
			for range 2 {
				time.Sleep(2 * time.Second)
				if _, err := io.WriteString(c, "x"); err != nil {
					return err
				}
			}
			return nil
		}
	}
	t.Run("in a header", func(t *testing.T) {
		start(t, scarce).mustSurvive("callers", heads, drip("GET /lookup/a HTTP/1.1\r\nHost: h\r\nX-Filler: "))
	})
	t.Run("in a body", func(t *testing.T) {
		start(t, scarce).mustSurvive("callers", heads, drip(head("Content-Length: 1000")))
	})
	t.Run("half open", func(t *testing.T) {
		start(t, scarce).mustSurvive("callers", heads, func(net.Conn) error { return nil })
	})
}

// TestOtherPorts guards against the same at ports that callers are not meant to use.
func TestOtherPorts(t *testing.T) {
	line := "X-Filler: " + strings.Repeat("f", 1000) + "\r\n"
	for _, port := range []string{"ready", "directory", "operators"} {
		t.Run(port+" headers", func(t *testing.T) {
			start(t, smallest).mustSurvive(port, 200, repeat("GET /ready HTTP/1.1\r\nHost: h\r\n", line, 1000))
		})
		t.Run(port+" connections", func(t *testing.T) {
			start(t, scarce).mustSurvive(port, heads, sendAll("GET /ready HTTP/1.1\r\nHost: h\r\n"))
		})
	}
	t.Run("peers messages", func(t *testing.T) {
		// A frame of 6 MB, less than the largest message, that does not end: control,
		// stream, message and length, and then the call's name.
		frame := append([]byte{1<<1 | 1, 1, 1}, 0x80, 0x80, 0x80, 0x03)
		piece := bytes.Repeat([]byte("x"), 64<<10)
		start(t, smallest).mustSurvive("peers", bodies, func(c net.Conn) error {
			if _, err := c.Write(frame); err != nil {
				return err
			}
			for range 90 {
				if _, err := c.Write(piece); err != nil {
					return err
				}
			}
			return nil
		})
	})
	t.Run("peers connections", func(t *testing.T) {
		start(t, scarce).mustSurvive("peers", heads, sendAll("x"))
	})
}

// TestLargestInCalm guards against a budget in which a permitted request does not fit.
func TestLargestInCalm(t *testing.T) {
	v := start(t, smallest)
	for range 3 {
		status, body := v.post("/commit/large", maxBody, 0, 30*time.Second)
		must.Eq(t, http.StatusOK, status, must.Sprint(body))
		status, body = v.post("/commit/long", 10, maxHeader-400, 30*time.Second)
		must.Eq(t, http.StatusOK, status, must.Sprint(body))
	}
	for _, run := range v.target.Runs() {
		if run.Path == "/commit/large" {
			must.Len(t, maxBody, run.Body)
		}
	}
}
