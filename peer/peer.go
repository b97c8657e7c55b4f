// Package peer sends messages between VMs over drpc. Messages are encoded as
// CBOR; the packages that use a call declare its message types.
package peer

import "context"

// Names of the calls between VMs, each with its request and response types.
const (
	// CallProbe checks whether a VM is alive: vm.Probe, vm.ProbeReply.
	CallProbe = "/vm/Probe"
	// CallIndirectProbe asks a third VM to probe another one: vm.IndirectProbe,
	// vm.IndirectProbeReply.
	CallIndirectProbe = "/vm/Indirect"
	// CallConfigPush sends a new version of the configuration: config.Push,
	// config.PushReply.
	CallConfigPush = "/config/Push"
	// CallConfigPull requests missing versions of the configuration: config.Pull,
	// config.PullReply.
	CallConfigPull = "/config/Pull"
	// CallTransferTokens requests tokens of a customer's limit:
	// limit.TransferRequest, limit.Transfer.
	CallTransferTokens = "/limit/Ask"
	// CallReturnTokens returns unneeded tokens: limit.TransferReturn,
	// limit.TransferReturnReply.
	CallReturnTokens = "/limit/Return"
	// CallIndexPart sends a part of the prefix index: prefix.Part,
	// prefix.PartReply.
	CallIndexPart = "/prefix/Part"
	// CallIndexPull requests a part of the prefix index at start: prefix.Pull,
	// prefix.Part.
	CallIndexPull = "/prefix/Pull"
	// CallPrefixLookup asks a replica of a partition of the prefix index which
	// engines hold pieces of a prompt: prefix.LookupRequest, prefix.LookupReply.
	CallPrefixLookup = "/prefix/Held"
	// CallAnnouncePrefill notifies a replica of a partition of a prefill that was
	// sent: prefix.Announcement, prefix.AnnouncementReply.
	CallAnnouncePrefill = "/prefix/Announce"
	// CallTargetStates sends the states of targets: target.StatesUpdate,
	// target.StatesUpdateReply.
	CallTargetStates = "/target/States"
)

// AnyVM as the VM of a Destination addresses the VM at the address whatever its
// id, for addresses whose VM id is not known.
const AnyVM = ""

// A Destination is the VM to which a call is sent. The receiver rejects a call
// whose VM is neither AnyVM nor its own id, since addresses are reused.
type Destination struct {
	VM      string
	Address string
}

// A Caller makes calls to other VMs. Call sends one request and decodes the
// response into resp. It returns an error if there is no response before ctx
// ends; the request may have been handled nevertheless.
type Caller interface {
	Call(ctx context.Context, to Destination, call string, req, resp any) error
}

// A Registrar registers the handlers of the calls that a VM serves.
type Registrar interface {
	Handle(call string, h Handler)
}

// A Handler handles one call. It decodes the request with decode and returns the
// response. From is the id of the calling VM.
type Handler func(ctx context.Context, from string, decode func(req any) error) (resp any, err error)
