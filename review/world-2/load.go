package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func (w *world) configure(version int, f func(map[string]any)) {
	c := map[string]any{}
	text := fmt.Sprintf(`{"version":%d,"routes":[
 {"name":"hold","host":"h","prefix":"/hold/","kind":"streaming","timeoutMs":4000,"goalMs":500,"priority":1,"service":"llm","maxAttempts":1,"public":false,"affinity":true,"resumable":false,"gapGoalMs":400},
 {"name":"ask","host":"h","prefix":"/ask/","kind":"streaming","timeoutMs":12000,"goalMs":400,"priority":0,"service":"llm","maxAttempts":2,"public":false,"affinity":true,"resumable":true,"gapGoalMs":400},
 {"name":"commit","host":"h","prefix":"/commit/","kind":"non_idempotent","timeoutMs":600,"goalMs":100,"priority":2,"service":"app","maxAttempts":1,"public":false},
 {"name":"lookup","host":"h","prefix":"/lookup/","kind":"idempotent","timeoutMs":600,"goalMs":100,"priority":2,"service":"app","maxAttempts":2,"public":false}],
 "services":[{"name":"llm","healthPath":"/health","maxConns":370,"engine":{"slots":64,"kvCapacity":100640,"kvTokenBytes":18432,"models":[{"name":"m"}]}},{"name":"app","healthPath":"/health","maxConns":110}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t1","apiKeys":["k1"],"priority":1,"unit":"tokens","uncachedTokens":200,"isolated":false,"ratePerS":1500000,"burst":1500000},
            {"name":"t2","apiKeys":["k2"],"priority":1,"unit":"tokens","uncachedTokens":200,"isolated":true,"ratePerS":1500000,"burst":1500000}]}`, version)
	if err := json.Unmarshal([]byte(text), &c); err != nil {
		panic(err)
	}
	if f != nil {
		f(c)
	}
	w.store.put("config", "main", c)
}

func mix(i int) call {
	q := call{host: "h", header: map[string]string{"Baobabdyke-Credential": "k1"}}
	if i%5 == 0 {
		q.header["Baobabdyke-Credential"] = "k2"
	}
	engine := func(out int) {
		q.method = "POST"
		q.header["Baobabdyke-Model"] = "m"
		q.header["Baobabdyke-Token-Usage"] = fmt.Sprintf("%d,%d", 700, out)
		q.header["Baobabdyke-Prefix-Hash"] = fmt.Sprintf("a%d:300,b%d:200,c%d:200", i%4, i%16, i)
		q.body = fmt.Sprintf("body %d", i)
	}
	switch i % 4 {
	case 0:
		q.path, q.deadline = "/hold/x", 4*time.Second
		engine(6)
	case 1:
		q.path, q.deadline = "/ask/x", 12*time.Second
		engine(30)
	case 2:
		q.method, q.path, q.deadline, q.body = "POST", "/commit/x", 600*time.Millisecond, "seat"
	default:
		q.method, q.path, q.deadline = "GET", "/lookup/x", 600*time.Millisecond
	}
	return q
}

// load sends requests until stop is closed; seen is called with the phase in which a request was sent.
func (w *world) load(perS int, stop <-chan struct{}, phase func() string, seen func(string, call, answer)) {
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(perS))
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			wg.Wait()
			return
		case <-tick.C:
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			q, p := mix(i), phase()
			var up []*vm
			for _, v := range w.vms {
				if !v.down.Load() {
					up = append(up, v)
				}
			}
			if len(up) == 0 {
				up = w.vms
			}
			v := up[rand.IntN(len(up))]
			a := w.do(v.callers, q)
			seen(p, q, a)
		}()
	}
}
