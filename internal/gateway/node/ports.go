package node

import (
	"context"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/justinas/alice"
	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/internal/fleet/canary"
	"github.com/baobabdyke/baobabdyke/internal/fleet/quarantine"
	"github.com/baobabdyke/baobabdyke/internal/fleet/quota"
	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
	"github.com/baobabdyke/baobabdyke/internal/gateway/admission"
	"github.com/baobabdyke/baobabdyke/internal/gateway/disconnect"
	"github.com/baobabdyke/baobabdyke/internal/gateway/hedge"
	"github.com/baobabdyke/baobabdyke/internal/gateway/inbound"
	"github.com/baobabdyke/baobabdyke/internal/settings"
	"github.com/baobabdyke/baobabdyke/platform"
)

const (
	// addressTTL is how long callers may cache a directory response.
	addressTTL = 2 * time.Second
	// minLocal is the number of VMs in the caller's data centre from which a
	// directory response names no others.
	minLocal = 2
	// maxAddresses bounds the addresses in a directory response.
	maxAddresses = 64
)

// Listeners are the open ports of a node.
type Listeners struct {
	callers, ready, directory, operators, peers net.Listener
}

// Close closes the ports that are open.
func (l Listeners) Close() {
	for _, listener := range []net.Listener{l.callers, l.ready, l.directory, l.operators, l.peers} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Listen opens the ports in the settings. It returns the settings with the ports
// that the system chose in place of port 0.
func Listen(ctx context.Context, s settings.Settings) (Listeners, settings.Settings, error) {
	var l Listeners
	var lc net.ListenConfig
	gateway := *s.Gateway
	s.Gateway = &gateway
	for _, p := range []struct {
		address *string
		into    *net.Listener
	}{
		{&s.Callers.Address, &l.callers},
		{&gateway.ReadyAddress, &l.ready},
		{&gateway.DirectoryAddress, &l.directory},
		{&s.Operators.Address, &l.operators},
		{&s.Peers.Address, &l.peers},
	} {
		listener, err := lc.Listen(ctx, "tcp", *p.address)
		if err != nil {
			l.Close()
			return Listeners{}, s, eris.Wrapf(err, "listen on %s", *p.address)
		}
		*p.into = listener
		*p.address = listener.Addr().String()
	}
	return l, s, nil
}

// callerServer returns the server of the callers' port, whose requests end with ctx.
func (n *Node) callerServer(ctx context.Context) *http.Server {
	return &http.Server{
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnContext:       disconnect.WithConn,
		Handler:           alice.New(n.trackRequests, n.watch.Handler).Then(n.relay),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          serverLog(n.log),
		ConnState:         n.trackConns,
	}
}

// trackRequests counts running requests, for a planned stop.
func (n *Node) trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.inFlight.Add(1)
		n.lastRequest.Store(int64(time.Since(n.start)))
		defer n.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// A sideServer is a server on a port other than the callers' port.
type sideServer struct {
	server   *http.Server
	listener net.Listener
}

const (
	// readyFiles, directoryFiles, operatorsFiles and peersFiles are the shares of the
	// descriptors that connections to these ports may use. From there on those that are
	// idle, or have taken longest for a request, are closed for new ones. Each of 340 VMs
	// may have a connection to this one, of 3,075 descriptors.
	readyFiles, directoryFiles, operatorsFiles, peersFiles = 0.02, 0.04, 0.02, 0.12
	// minPeerConns is the least number of connections of other VMs.
	minPeerConns = 64
	// sideHeaderBytes bounds the header of a request to another port than the callers'.
	sideHeaderBytes = 16 << 10
	// sideTimeout bounds a request to such a port, and sideIdleTimeout how long a
	// connection may be idle.
	sideTimeout, sideIdleTimeout = 30 * time.Second, time.Minute
)

// sideServers returns the servers of the readiness, directory and operators'
// ports.
func (n *Node) sideServers(l Listeners) []sideServer {
	newServer := func(h http.Handler, listener net.Listener, files float64) sideServer {
		set := n.newConnSet(fileShare(files))
		return sideServer{&http.Server{
			Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: sideTimeout, WriteTimeout: sideTimeout, IdleTimeout: sideIdleTimeout,
			MaxHeaderBytes: sideHeaderBytes, ErrorLog: serverLog(n.log), ConnState: set.Track,
		}, inbound.Listener{Listener: listener, Set: set}}
	}
	newMux := func(path string, h http.HandlerFunc) http.Handler {
		mux := http.NewServeMux()
		mux.HandleFunc("GET "+path, h)
		return mux
	}
	operators := http.NewServeMux()
	operators.Handle("GET /metrics", expvar.Handler())
	operators.HandleFunc("GET /dump", n.serveDump)
	operators.HandleFunc("GET /settings", n.serveSettings)
	operators.Handle("POST /explain/route", alice.New(n.requireToken).ThenFunc(n.serveExplanation))
	operators.HandleFunc("GET /admission", n.serveAdmission)
	return []sideServer{
		newServer(newMux(platform.PathReady, n.serveReady), l.ready, readyFiles),
		newServer(newMux(platform.PathResolve, n.serveDirectory), l.directory, directoryFiles),
		newServer(operators, l.operators, operatorsFiles),
	}
}

// boundPeers bounds the connections of other VMs and what they send before they are answered.
func (n *Node) boundPeers(l net.Listener) net.Listener {
	set := n.newConnSet(max(fileShare(peersFiles), minPeerConns))
	set.Messages = true
	return inbound.Listener{Listener: l, Set: set}
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready.Load() || n.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveDirectory responds with the addresses of VMs to use.
func (n *Node) serveDirectory(w http.ResponseWriter, r *http.Request) {
	addresses := n.addresses(platform.ReadResolveQuery(r.URL.Query()), time.Now())
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := platform.WriteAddresses(w, addresses, min(addressTTL, n.bounds().TTL)); err != nil {
		_ = n.log.Log("msg", "directory response not written", "err", err)
	}
}

// addresses returns the callers' addresses of the VMs that serve: those in the
// caller's data centre if there are enough, else all.
func (n *Node) addresses(q platform.ResolveQuery, now time.Time) []string {
	var local, all []string
	add := func(address, dataCentre string) {
		all = append(all, address)
		if dataCentre == q.DataCentre {
			local = append(local, address)
		}
	}
	if n.ready.Load() && !n.leaving.Load() {
		add(n.settings.Callers.Address, n.settings.DataCentre)
	}
	for _, m := range n.roster.Members() {
		if m.Entry.State == roster.Ready && m.Alive(now) {
			add(m.Entry.Callers, m.Entry.DataCentre)
		}
	}
	if len(local) >= minLocal {
		all = local
	}
	return all[:min(len(all), maxAddresses)]
}

// serveDump writes the state of the process, without secrets.
func (n *Node) serveDump(w http.ResponseWriter, _ *http.Request) {
	v := n.source.View()
	dump := struct {
		State     string
		Admission []admission.ServiceStatus `json:",omitempty"`
		Members   []*roster.Member
		Marks     any
		Targets   any
		Names     []source.Announcement
		Spent     map[string]float64
		Share     quota.Share
		Duty      roster.LeaseStatus
		Suspects  []quarantine.Report
		Hedges    hedge.Report
		Canary    *canary.Update `json:",omitempty"`
	}{
		n.lifecycle.State(), n.admission.Status(), n.roster.Members(), n.source.Positions(), v.Targets, n.source.Announcements(time.Now()),
		n.quota.Spent(), n.quota.Share(), n.orders.LeaseStatus(), n.quarantine.Reports(time.Now()), n.hedger.Report(time.Now()), n.canaryUpdate(),
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(dump); err != nil {
		_ = n.log.Log("msg", "state dump not written", "err", err)
	}
}

// serveAdmission writes what is admitted and refused, by service, class and customer.
func (n *Node) serveAdmission(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(n.admission.Page()); err != nil {
		_ = n.log.Log("msg", "admission status not written", "err", err)
	}
}
