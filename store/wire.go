package store

// Paths, parameters and headers of the platform's HTTP API.
const (
	// PathObjects is the path of the objects: GET, PUT and DELETE of
	// PathObjects/KEY for one, and GET of PathObjects?prefix=P for a list.
	PathObjects = "/objects"
	// PathWatch is the path of the stream of changes: GET of
	// PathWatch?prefix=P&after=V.
	PathWatch = "/watch"
	// PathVMs is the path of the list of VMs.
	PathVMs = "/vms"
	// ParamPrefix, ParamAfter and ParamExpect are query parameters.
	ParamPrefix = "prefix"
	ParamAfter  = "after"
	ParamExpect = "expect"
	// HeaderVersion is the header with the version of an object.
	HeaderVersion = "X-Version"
)

// A WireObject is the JSON form of one object in a list, or of one change in a
// watch. A change without a key is a keep-alive.
type WireObject struct {
	Key     string `json:"key,omitempty"`
	Version int64  `json:"version,omitempty"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}
