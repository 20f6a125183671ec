package peer

// Names of the JSON-RPC methods between peers.
const (
	// MethodChallenge returns the listener's nonce for the handshake.
	MethodChallenge = "challenge"
	// MethodHello presents the caller's proof and returns the listener's.
	MethodHello = "hello"
	// MethodDigest exchanges membership digests; it also serves as the direct probe.
	MethodDigest = "digest"
	// MethodIndirectProbe asks a peer to probe another member.
	MethodIndirectProbe = "indirect-probe"
	// MethodRulesSince returns the rule records after a revision.
	MethodRulesSince = "rules-since"
	// MethodSlices asks the owner of teams for slices of their limits.
	MethodSlices = "slices"
	// MethodDemand reports a node's demand to the holder of the engine pool's lease.
	MethodDemand = "demand"
	// MethodRequestStatus returns the status of a request that the peer took.
	MethodRequestStatus = "request-status"
	// MethodClaim claims an idempotency key at a holder of its partition.
	MethodClaim = "claim"
	// MethodClaimNote gives a holder of a partition a void or an outcome to append.
	MethodClaimNote = "claim-note"
	// MethodFeedUpdate sends a peer the changed records of a topic.
	MethodFeedUpdate = "feed-update"
	// MethodFeedFetch returns all records of a topic.
	MethodFeedFetch = "feed-fetch"
	// MethodLoadDigest sends a node's loads to a peer.
	MethodLoadDigest = "load-digest"
	// MethodRelayLoads sends a node's loads to the relay of its availability zone and returns the sum of the site.
	MethodRelayLoads = "relay-loads"
	// MethodZoneLoads sends the sum of an availability zone to the relay of another one.
	MethodZoneLoads = "zone-loads"
)

// Roles in the handshake, which enter the proofs.
const (
	roleCaller   = "caller"
	roleListener = "listener"
)
