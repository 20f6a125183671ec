package peer

// Methods between peers.
const (
	MethodChallenge     = "challenge"
	MethodHello         = "hello"
	MethodDigest        = "digest"
	MethodIndirectProbe = "indirect-probe"
	MethodRulesSince    = "rules-since"
	MethodSlices        = "slices"
	MethodDemand        = "demand"
	MethodRequestStatus = "request-status"
	MethodClaim         = "claim"
	MethodClaimNote     = "claim-note"
	MethodFeedUpdate    = "feed-update"
	MethodFeedFetch     = "feed-fetch"
	MethodLoadDigest    = "load-digest"
	MethodRelayLoads    = "relay-loads"
	MethodZoneLoads     = "zone-loads"
)

const (
	sideCaller   = "caller"
	sideListener = "listener"
)
