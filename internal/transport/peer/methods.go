package peer

// Names of the JSON-RPC methods between peers.
const (
	// MethodChallenge returns the listener's nonce for the handshake.
	MethodChallenge = "challenge"
	// MethodHello sends the caller's proof of the shared secret and returns the listener's.
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
	// MethodRequestStatus returns the status of a request that the peer accepted.
	MethodRequestStatus = "request-status"
	// MethodClaim claims an idempotency key at a holder of its partition.
	MethodClaim = "claim"
	// MethodClaimNote sends a holder of a partition a claim record that is a void or an outcome, to append to the log.
	MethodClaimNote = "claim-note"
	// MethodFeedUpdate sends a peer the changed records of a topic.
	MethodFeedUpdate = "feed-update"
	// MethodFeedFetch returns all records of a topic.
	MethodFeedFetch = "feed-fetch"
	// MethodLoadDigest sends a node's loads to a peer.
	MethodLoadDigest = "load-digest"
	// MethodRelayLoads sends a node's loads to the relay of its availability zone and returns the sum of all loads.
	MethodRelayLoads = "relay-loads"
	// MethodZoneLoads sends the sum of the loads of an availability zone to the relay of another one.
	MethodZoneLoads = "zone-loads"
	// MethodTellOrigins tells a keeper where streams began, MethodFindOrigin asks a node where one did, and
	// MethodFindVersions which software versions it has seen in a pool.
	MethodTellOrigins  = "tell-origins"
	MethodFindOrigin   = "find-origin"
	MethodFindVersions = "find-versions"
	// MethodTellVersions tells a node of software versions that are about to serve, or are no longer recorded.
	MethodTellVersions = "tell-versions"
	// MethodRecordVersions asks a node to record software versions.
	MethodRecordVersions = "record-versions"
	// MethodDetour asks a node to connect to an upstream for the caller, which takes the connection with Client.OpenStream.
	MethodDetour = "detour"
	// MethodPause tells a node that an upstream asked it to send nothing for a while.
	MethodPause = "pause"
	// MethodTakeLimit asks the node that holds the limit of an upstream for one send.
	MethodTakeLimit = "take-limit"
	// MethodReleasePlace returns a place at a brittle upstream to the node that gave it.
	MethodReleasePlace = "release-place"
	// MethodUsageCounts asks a node for its usage counts, and tells it the true time and the holder of the duties.
	MethodUsageCounts = "usage-counts"
)

// Roles of the two nodes of a connection, which enter the proofs of the handshake. The caller opened the connection,
// and the listener accepted it.
const (
	roleCaller   = "caller"
	roleListener = "listener"
)
