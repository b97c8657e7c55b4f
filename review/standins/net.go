package main

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
)

type connKey struct{}

// withConn makes the connection of a request available to its handler.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// listen opens a free port of the loopback address.
func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	return l
}

// Ports of VMs are below those that the kernel gives to outgoing connections, which
// could take them before the VM starts.
const (
	firstPort = 10000
	ports     = 20000
)

// freeAddresses returns loopback addresses whose ports are free.
func freeAddresses(n int) []string {
	var listeners []net.Listener
	var out []string
	for len(out) < n {
		address := "127.0.0.1:" + strconv.Itoa(firstPort+rand.IntN(ports))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		listeners = append(listeners, l)
		out = append(out, address)
	}
	for _, l := range listeners {
		_ = l.Close()
	}
	return out
}
