package peer

// Methods between peers.
const (
	MethodChallenge = "challenge"
	MethodHello     = "hello"
	MethodDigest    = "digest"
	MethodIndirect  = "indirect-probe"
	MethodRules     = "rules-since"
	MethodSlices    = "slices"
	MethodDemand    = "demand"
	MethodStatus    = "request-status"
	MethodClaim     = "claim"
	MethodNote      = "claim-note"
)

const (
	sideCaller   = "caller"
	sideListener = "listener"
)
