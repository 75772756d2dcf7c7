"""Every default value, with its unit, in one place."""

BUCKETS_PER_SERVICE = 4096
"""Buckets that the flows of one service are hashed into."""

CURRENT_CANDIDATES = 2
"""Targets of the version in force that may accept an opening flow."""

MAX_CHAIN_LENGTH = 6
"""Targets that one packet may be passed along."""

MAX_HOPS = 12
"""Times that one packet may be forwarded before it is dropped."""

CHAIN_CACHE_ENTRIES = 65_536
"""Chains a balancer keeps ready; the least recently used go first."""

VERSION_HISTORY = 4
"""Replaced versions whose candidates still stand in a chain."""

VERSION_HISTORY_SECONDS = 60.0
"""Age at which a replaced version leaves the chains."""

HANDSHAKE_SECONDS = 75.0
"""Time for which the placement of an opening flow is remembered."""

MAX_OPENINGS = 65_536
"""Opening flows whose placement one agent remembers."""

FLOW_IDLE_SECONDS = 7_200.0
"""Silence after which an owned flow is forgotten."""

CLOSED_FLOW_SECONDS = 60.0
"""Silence after which a closing flow is forgotten."""

FLOW_TICK_SECONDS = 10.0
"""Precision with which flows are forgotten."""

FLOW_SWEEP_FLOWS = 1_024
"""Flows whose deadline is looked at in one step."""

MAX_OWNED_FLOWS = 131_072
"""Flows that one agent owns at once."""

MAX_DATAGRAM_BYTES = 65_507
"""Largest UDP payload over IPv4."""

SOCKET_BUFFER_BYTES = 4_194_304
"""Receive buffer asked of the kernel for each datagram socket."""

RECEIVE_BATCH = 64
"""Datagrams read from one socket before other work gets its turn."""

PLATFORM_WATCH_SECONDS = 30.0
"""Time for which one watch on the platform may wait."""

PLATFORM_TIMEOUT_SECONDS = 5.0
"""Time for which one read from the platform may take."""

BACKOFF_INITIAL_SECONDS = 0.2
"""Wait before the first retry of a failed call."""

BACKOFF_MAX_SECONDS = 10.0
"""Longest wait between two tries of a failed call."""

INSTANCES_REFRESH_SECONDS = 10.0
"""Time between two reads of the instance list."""

MAX_REQUEST_BODY_BYTES = 16_777_216
"""Largest request body the gateway takes."""

LOG_SAMPLE = 1.0
"""Share of routing decisions that are logged."""

MAX_SEARCH_LENGTH = 12
"""Agents that one packet may be offered to while its owner is sought."""

OWNER_LEASE_SECONDS = 90.0
"""Time after which an owner record lapses unless it is refreshed."""

OWNER_REFRESH_SECONDS = 30.0
"""Time between two owner records of one owner."""

OWNER_BYTES_PER_SECOND = 1024
"""Rate at which one agent sends owner records."""

OWNER_REPEAT_SECONDS = 1.0
"""Time in which an owner record is sent to one agent at most once."""

MAX_LEASE_SECONDS = 600.0
"""Longest lease of an owner record that is believed."""

MAX_RECORD_OWNERS = 64
"""Owners of one service whose records an agent holds."""

MAX_KNOWN_AGENTS = 256
"""Present and past agents of its service that an agent knows."""

SCAN_SLICE_FLOWS = 256
"""Owned flows that are looked at before other work gets its turn."""

SETTLING_SECONDS = 12.0
"""Time in which versions and owner records reach every agent."""

TICK_SECONDS = 0.5
"""Time between two signs that a process was not paused."""

PAUSE_SECONDS = 2.0
"""Time without a sign after which a process was paused."""

CLAIM_TIMEOUT_SECONDS = 0.1
"""Time for which an opening packet waits for claims of other agents."""

MAX_PENDING_OPENINGS = 4_096
"""Opening packets of one agent that wait for claims."""
