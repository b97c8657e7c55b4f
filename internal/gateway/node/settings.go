package node

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/baobabdyke/baobabdyke/internal/logs/logline"
	"github.com/baobabdyke/baobabdyke/internal/settings"
	"github.com/baobabdyke/baobabdyke/peer"
)

// CallSettings is the call that returns the settings with which a VM runs. Its response is
// of type SettingsStatus.
const CallSettings = "/node/Settings"

const (
	// settingsTimeout bounds the call to one VM.
	settingsTimeout = time.Second
	// maxSettingsCalls is the number of VMs that are asked at the same time.
	maxSettingsCalls = 16
)

// A SettingsStatus tells with which settings a VM runs.
type SettingsStatus struct {
	// Version is the version of the settings in force, and Since when they were loaded.
	Version string `cbor:"1,keyasint" json:"version"`
	Since   string `cbor:"2,keyasint" json:"since"`
	// AfterRestart names the settings in the file that are in force after a restart only.
	AfterRestart string `cbor:"3,keyasint,omitempty" json:"afterrestart,omitempty"`
	// Refused is why the present file was refused, if it was.
	Refused string `cbor:"4,keyasint,omitempty" json:"refused,omitempty"`
}

// A settingsRecord keeps the SettingsStatus of this VM.
type settingsRecord struct {
	mu     sync.Mutex
	status SettingsStatus
}

// load records settings that are in force from now on.
func (r *settingsRecord) load(g *settings.Gateway, afterRestart []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = SettingsStatus{
		Version: g.Version(), Since: time.Now().UTC().Format(time.RFC3339), AfterRestart: strings.Join(afterRestart, " "),
	}
}

// refuse records why the settings file was refused.
func (r *settingsRecord) refuse(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.Refused = logline.ErrorText(err)
}

func (r *settingsRecord) read() SettingsStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// RefuseSettings takes note of a settings file that is invalid. The last settings stay in
// force.
func (n *Node) RefuseSettings(err error) {
	n.loaded.refuse(err)
	_ = n.log.Log("msg", "changed settings refused", "err", err)
}

// A vmSettings is the SettingsStatus of a VM, or why it is not known.
type vmSettings struct {
	VM         string `json:"vm"`
	DataCentre string `json:"datacentre"`
	SettingsStatus
	Error string `json:"error,omitempty"`
}

// fleetSettings asks all VMs for their settings.
func (n *Node) fleetSettings(ctx context.Context) []vmSettings {
	members := n.roster.Members()
	out := make([]vmSettings, len(members)+1)
	out[0] = vmSettings{VM: n.settings.VM, DataCentre: n.settings.DataCentre, SettingsStatus: n.loaded.read()}
	var g errgroup.Group
	g.SetLimit(maxSettingsCalls)
	for i, m := range members {
		g.Go(func() error {
			v := vmSettings{VM: m.Entry.VM, DataCentre: m.Entry.DataCentre}
			ctx, cancel := context.WithTimeout(ctx, settingsTimeout)
			defer cancel()
			to := peer.Destination{VM: m.Entry.VM, Address: m.Entry.Peers}
			if err := n.client.Call(ctx, to, CallSettings, struct{}{}, &v.SettingsStatus); err != nil {
				v.Error = logline.ErrorText(err)
			}
			out[i+1] = v
			return nil
		})
	}
	_ = g.Wait()
	return out
}

// serveSettings writes the settings with which the VMs run.
func (n *Node) serveSettings(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(n.fleetSettings(r.Context())); err != nil {
		_ = n.log.Log("msg", "settings not written", "err", err)
	}
}
