package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxFds is the number of descriptors of a machine.
	maxFds = 4100
	// usualRate is what one of nine machines gets of the site's requests, and heavyRate
	// what one of two machines gets while many users come at once, in requests per second.
	usualRate = 11
	heavyRate = 80
	// fillTime is how long the clients come.
	fillTime = 56 * time.Second
	// tryTime is how long eight further clients try to connect then. It exceeds stableMs.
	tryTime  = 6 * time.Second
	triers   = 8
	stableMs = 3 * time.Second
)

// An openClient opens a connection for a request and keeps it. It would use the connection
// again within four fifths of idleTimeoutMs, and leaves it to the server to close it.
func openClient(address string, id int64, keep func(net.Conn)) (int, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	_ = c.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	_, err = fmt.Fprintf(c, "GET /read/2f HTTP/1.1\r\nHost: app.example\r\nBaobabdyke-Request-Id: %016x\r\n"+
		"Baobabdyke-Deadline-Ms: 1500\r\nBaobabdyke-Credential: key-of-tenant-1\r\n\r\n", id)
	if err != nil {
		_ = c.Close()
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		_ = c.Close()
		return 0, err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	_ = c.SetDeadline(time.Time{})
	keep(c)
	return resp.StatusCode, nil
}

// conns holds the connections that clients keep, until the server closes them.
type conns struct {
	open, closed atomic.Int64
}

func (k *conns) keep(c net.Conn) {
	k.open.Add(1)
	go func() {
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
		k.open.Add(-1)
		k.closed.Add(1)
	}()
}

// playIdle sends each request on a new connection that stays idle afterwards.
func playIdle(p *play) int {
	// The connections of the clients take descriptors of this process.
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < 3*maxFds {
		p.note("this process may open %d descriptors, which is too few", limit.Cur)
		return 2
	}
	s := newPlatformStore()
	s.put("config", "main", config(3))
	for i := range 3 {
		startRunner(s, fmt.Sprintf("i-app-%d", i+1), "app", 15*time.Millisecond)
	}
	f := newFleet(p.binary, p.dir, s, 2, 284)
	f.maxFds = maxFds
	defer f.stopAll()
	if !f.startAll() {
		p.note("the VMs are not ready")
		return 2
	}
	rate := usualRate
	if p.trouble {
		rate = heavyRate
	}
	p.note("2 VMs are ready, with %d descriptors each; %d requests a second come to each, idleTimeoutMs is 15000", maxFds, rate)
	var ids, served, failed atomic.Int64
	kept := []*conns{{}, {}}
	start := time.Now()
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	next := 5 * time.Second
	for time.Since(start) < fillTime {
		<-tick.C
		for i, v := range f.vms {
			go func() {
				if status, err := openClient(v.callers, ids.Add(1), kept[i].keep); err != nil || status != 200 {
					failed.Add(1)
				} else {
					served.Add(1)
				}
			}()
		}
		if time.Since(start) > next {
			next += 5 * time.Second
			p.note("connections open at %s: %d, at %s: %d; closed by the server: %d; requests served: %d, not served: %d",
				f.vms[0].name, kept[0].open.Load(), f.vms[1].name, kept[1].open.Load(), kept[0].closed.Load()+kept[1].closed.Load(), served.Load(), failed.Load())
		}
	}
	return tryConnect(p, f, &ids)
}

// tryConnect lets clients try to get a new connection to each VM, and asks the VM whether
// it is ready meanwhile.
func tryConnect(p *play, f *fleet, ids *atomic.Int64) int {
	var deaf atomic.Int64
	var all sync.WaitGroup
	for _, v := range f.vms {
		all.Go(func() {
			if isDeaf(p, v, ids) {
				deaf.Add(1)
			}
		})
	}
	all.Wait()
	if deaf.Load() > 0 {
		return 1
	}
	return 0
}

// isDeaf reports whether a VM takes no new connection for longer than stableMs, while
// clients try and it says that it is ready.
func isDeaf(p *play, v *vm, ids *atomic.Int64) bool {
	p.note("%s takes %d MB; asked on its kept connection whether it is ready: %d", v.name, residentMB(v.command.Process.Pid), v.askReady())
	var wg sync.WaitGroup
	var tries, taken, ready, notReady atomic.Int64
	end := time.Now().Add(tryTime)
	for range triers {
		wg.Go(func() {
			for time.Now().Before(end) {
				tries.Add(1)
				if _, err := openClient(v.callers, ids.Add(1), func(c net.Conn) { _ = c.Close() }); err == nil {
					taken.Add(1)
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	for time.Now().Before(end) {
		if v.askReady() == http.StatusOK {
			ready.Add(1)
		} else {
			notReady.Add(1)
		}
		time.Sleep(time.Second)
	}
	wg.Wait()
	p.note("%s: in %v, %d clients tried %d times to get a request read on a new connection, %d times with success; the VM said that it is ready %d times, %d times not",
		v.name, tryTime, triers, tries.Load(), taken.Load(), ready.Load(), notReady.Load())
	return taken.Load() == 0 && ready.Load() > 0 && notReady.Load() == 0 && tryTime > stableMs
}
