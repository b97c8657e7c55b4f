package store

// Paths, parameters and headers of the object API over HTTP.
const (
	// PathObjects holds the objects: GET, PUT and DELETE of PathObjects/KEY, and
	// GET of PathObjects?prefix=P for a list.
	PathObjects = "/objects"
	// PathWatch streams changes: GET of PathWatch?prefix=P&after=V.
	PathWatch = "/watch"
	// PathVMs lists the VMs.
	PathVMs = "/vms"
	// ParamPrefix, ParamAfter and ParamExpect are query parameters.
	ParamPrefix = "prefix"
	ParamAfter  = "after"
	ParamExpect = "expect"
	// HeaderVersion carries the version of an object.
	HeaderVersion = "X-Version"
)

// A WireObject is one object in a list, or one change in a watch. A change
// without a key is a sign of life.
type WireObject struct {
	Key     string `json:"key,omitempty"`
	Version int64  `json:"version,omitempty"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}
