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

CLOSED_FLOW_SECONDS = 10.0
"""Time for which a flow is still owned after it was closed."""

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

INSTANCES_READS_PER_SECOND = 400
"""Reads of the instance list by all processes together."""

DEPARTED_SOURCE_SECONDS = 7_200.0
"""Silence after which an address that left every list is unknown."""

MAX_DEPARTED_SOURCES = 65_536
"""Addresses kept that left every list."""

MAX_REQUEST_BODY_BYTES = 16_777_216
"""Largest request body the gateway takes."""

LOG_SAMPLE = 1.0
"""Share of routing decisions that are logged."""

HEARTBEAT_SECONDS = 1.0
"""Mean time between two heartbeats to the same mate."""

HEARTBEAT_JITTER_SHARE = 0.1
"""Share by which the time between two heartbeats varies."""

HEARTBEAT_LEASE_SECONDS = 3.0
"""Silence after which a mate's lease lapses."""

MAX_MATES = 64
"""Agents of one service that an agent keeps track of."""

DEPARTED_MATE_SECONDS = 60.0
"""Time for which a silent mate outside the configuration is kept."""

PAUSE_SECONDS = 1.5
"""Delay of a timer that counts as a pause of the process."""

SUSPICION_LEASE_SECONDS = 30.0
"""Time after which a suspicion lapses unless it is renewed."""

SUSPICION_RENEWAL_SECONDS = 10.0
"""Age at which a suspicion that is still reported is renewed."""

MAX_SUSPICIONS = 32_768
"""Records of suspected and refuted agents that a balancer keeps."""

EARLY_REPORTS = 5
"""Reports of a lapsed mate, one with each heartbeat, before they thin out."""

REPORT_SECONDS = 8.0
"""Time between two later reports of the same lapsed mates."""

REPORT_LEASE_SECONDS = 20.0
"""Time for which a balancer counts on one report."""

REPORT_BALANCERS = 3
"""Balancers that an agent reports to."""

REPORTERS_NEEDED = 2
"""Reporters on whose word a balancer suspects without own evidence."""

PROBE_SECONDS = 1.0
"""Silence after a probe that counts as evidence against the suspect."""

GOSSIP_SECONDS = 0.5
"""Time between two rounds of gossip."""

GOSSIP_PEERS = 2
"""Balancers that one round of gossip goes to."""

GOSSIP_SENDS = 8
"""Times that a balancer passes on one record."""

GOSSIP_BYTES_PER_SECOND = 1_000
"""Bytes of gossip that a balancer may send, headers included."""

GOSSIP_BURST_BYTES = 2_000
"""Bytes of gossip that a balancer may send at once."""

GOSSIP_RECORDS = 24
"""Records in one datagram of gossip."""

DATAGRAM_HEADER_BYTES = 28
"""Bytes of the IPv4 and UDP headers of a datagram."""
