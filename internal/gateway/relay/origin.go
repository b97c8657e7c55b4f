package relay

// pin pins the stream to the version of the target, of which an event is about to be passed on,
// and reports whether it may go on there.
func (x *exchange) pin() bool {
	j, version := x.response.job, x.choice.Target.Version
	if !j.route.Resumable {
		return true
	}
	if j.pinned && j.version != version {
		return false
	}
	j.pinned, j.version = true, version
	return true
}
