// Package peer carries messages between VMs over drpc. Messages are encoded as
// CBOR; each package of the domain declares its own and names its calls.
package peer

import "context"

// Names of the calls between VMs, each with its request and response types.
const (
	// CallProbe asks for a sign of life: vm.Probe, vm.ProbeReply.
	CallProbe = "/vm/Probe"
	// CallIndirect asks a third VM to probe: vm.Indirect, vm.ProbeReply.
	CallIndirectProbe = "/vm/Indirect"
	// CallConfigPush sends a new version: config.Push, config.PushReply.
	CallConfigPush = "/config/Push"
	// CallConfigPull asks for missing versions: config.Pull, config.PullReply.
	CallConfigPull = "/config/Pull"
	// CallTokens asks for part of an allowance: limit.Ask, limit.Transfer.
	CallTransferTokens = "/limit/Ask"
	// CallTokensBack returns what was not needed: limit.Return, limit.ReturnReply.
	CallReturnTokens = "/limit/Return"
	// CallIndexPart sends a part of the prefix index: prefix.Part, prefix.PartReply.
	CallIndexPart = "/prefix/Part"
	// CallIndexPull asks for a part at start: prefix.Pull, prefix.Part.
	CallIndexPull = "/prefix/Pull"
	// CallHeld asks a home which engines hold pieces: prefix.HeldRequest,
	// prefix.HeldReply.
	CallPrefixLookup = "/prefix/Held"
	// CallAnnounce tells a home of a prefill that was sent: prefix.Announcement,
	// prefix.AnnouncementReply.
	CallAnnouncePrefill = "/prefix/Announce"
	// CallTargets sends targets' states: target.States, target.StatesReply.
	CallTargetStates = "/target/States"
)

// AnyVM as the VM of a Destination addresses whichever VM has the address, for
// addresses that come without an id.
const AnyVM = ""

// A Destination is the VM that a call is for. The receiver refuses a call whose
// VM is neither AnyVM nor its own id, since addresses are reused.
type Destination struct {
	VM      string
	Address string
}

// A Caller sends one request to a VM and decodes its response into resp. It
// returns an error when there is no answer before ctx ends; the request may
// have been handled all the same.
type Caller interface {
	Call(ctx context.Context, to Destination, call string, req, resp any) error
}

// A Registrar takes the handlers of the calls that a VM answers. A Handler
// decodes the request with decode and returns the response.
type Registrar interface {
	Handle(call string, h Handler)
}

// A Handler answers one call. From is the id of the calling VM.
type Handler func(ctx context.Context, from string, decode func(req any) error) (resp any, err error)
