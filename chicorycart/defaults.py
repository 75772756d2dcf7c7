"""Every default value, with its unit, in one place."""

BUCKETS_PER_SERVICE = 4096
"""Buckets that the flows of one service are hashed into."""

CURRENT_CANDIDATES = 4
"""Targets of the version in force that may accept an opening flow."""

CHOICE_HYSTERESIS = 0.1
"""Share by which another candidate must be less loaded to get a flow."""

SENT_FLOW_WEIGHT = 2
"""Flows that each flow passed on since a heartbeat counts for."""

MAX_CHOICE_HOPS = 2
"""Hops after which a placed flow is no longer moved because of load."""

MAX_CHAIN_LENGTH = 8
"""Targets that one packet may be passed along."""

MAX_HOPS = 14
"""Times that one packet may be forwarded before it is dropped."""

CHAIN_CACHE_ENTRIES = 65_536
"""Chains a balancer keeps ready; least recently used services go first."""

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

CLAIM_REPEAT_SECONDS = 0.07
"""Time after which agents that have not answered are asked once more.

Longer than a round trip between two regions.
"""

MAX_PENDING_OPENINGS = 4_096
"""Opening packets of one agent that wait for claims."""

CAPACITY_WINDOW_SECONDS = 10.0
"""Time between two changes of a target's measured strength."""

MIN_MEASURED_WORKS = 10
"""Ended works that a measurement of strength needs."""

MAX_MEASURED_WORK_SECONDS = 10.0
"""Duration above which a work does not count for the strength."""

CAPACITY_MAX_STEP = 1.25
"""Factor by which one measurement may change the strength."""

CAPACITY_SMOOTHING = 0.25
"""Share of a new measurement in the strength."""

SLOW_START_SECONDS = 30.0
"""Time in which a new target's reported strength rises to the whole."""

SLOW_START_INITIAL_SHARE = 0.1
"""Share of its strength that a new target reports at its start."""

HEARTBEAT_SECONDS = 1.0
"""Mean time between two heartbeats to the same mate."""

HEARTBEAT_JITTER_SHARE = 0.1
"""Share by which the time between two heartbeats varies."""

HEARTBEAT_LEASE_SECONDS = 3.0
"""Silence after which a mate's lease lapses."""

MAX_PEER_AGENTS = 64
"""Agents of one service that an agent keeps track of."""

DEPARTED_PEER_AGENT_SECONDS = 60.0
"""Time for which a silent mate outside the configuration is kept."""

LATE_TIMER_SECONDS = 1.5
"""Delay of a timer that counts as a pause of the process."""

SUSPICION_LEASE_SECONDS = 60.0
"""Time after which a suspicion lapses unless it is renewed."""

SUSPICION_RENEWAL_SECONDS = 20.0
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

PROBE_BYTES_PER_SECOND = 500
"""Bytes of probes of reported agents that a balancer may send."""

PROBE_BURST_BYTES = 500
"""Bytes of probes that a balancer may send at once."""

GOSSIP_SECONDS = 0.5
"""Time between two rounds of gossip."""

GOSSIP_PEERS = 2
"""Balancers that one round of gossip goes to."""

GOSSIP_SENDS = 10
"""Times that a balancer passes on one record."""

SUSPICION_BYTES_PER_SECOND = 1_000
"""Bytes of gossip that a balancer may send, headers included."""

SUSPICION_BURST_BYTES = 1_000
"""Bytes of gossip that a balancer may send at once."""

GOSSIP_RECORDS = 24
"""Records in one datagram of gossip."""

DATAGRAM_HEADER_BYTES = 28
"""Bytes of the IPv4 and UDP headers of a datagram."""

TOOL_TIMEOUT_SECONDS = 5.0
"""Time the command-line tool gives one daemon to answer."""

DRAIN_POLL_SECONDS = 1.0
"""Time between two looks at a target whose drain is followed."""

SKEWED_READ_TRIES = 3
"""Times that an index is read anew before a skewed read has failed."""

BUNDLE_MIN_SERVICES = 8
"""Unknown services of a shard from which its bundle is read."""

READER_CALLS_PER_SECOND = 18.0
"""Platform calls of one reader, on average."""

READER_CALLS_BURST = 30.0
"""Platform calls that one reader may make at once."""

PLATFORM_ALONE_SECONDS = 120.0
"""Time between two reads of a process that hears of no peer."""

READERS_PER_DOMAIN = 2
"""Balancers of a failure domain that watch the platform."""

READER_CANDIDATES = 4
"""Balancers of a failure domain that may take a reader's place."""

READER_PROBE_SECONDS = 2.0
"""Time between two probes of the candidates that come first."""

READER_SILENCE_SECONDS = 7.0
"""Silence after which the next candidate reads in a reader's place."""

PEER_SILENCE_SECONDS = 15.0
"""Silence of all peers after which a process reads by itself."""

PUSH_FANOUT = 4
"""Peers that a process pushes a new version to."""

PUSH_REMOTE_SHARE = 0.25
"""Share of pushes and digests that go to other failure domains."""

MAX_PUSH_BYTES = 1_200
"""Largest delta that is pushed; later ones are only announced."""

DIGEST_SECONDS = 1.0
"""Time between two exchanges of versions with a peer."""

VERSION_BYTES_PER_SECOND = 1_250.0
"""Bytes that one process sends for the configuration, on average."""

VERSION_BYTES_BURST = 60_000.0
"""Bytes that one process may send at once for the configuration."""

FETCH_TRIES = 4
"""Peers that are asked for an announced version before it is dropped."""

FETCH_TIMEOUT_SECONDS = 5.0
"""Time for which one read from a peer may take."""

START_PEERS = 3
"""Peers whose version a starting process asks for."""

START_WAIT_SECONDS = 6.0
"""Time after which a process that knows a version serves with it."""

DELTA_HISTORY = 1_024
"""Versions back to which a delta can be made."""

MAX_DELTA_BYTES = 33_554_432
"""Largest delta that is taken, once decompressed."""

PEER_KEEP_SECONDS = 120.0
"""Time for which a peer that the list leaves out stays after a datagram."""

MAX_KEPT_PEERS = 256
"""Peers that are kept although the list leaves them out."""

FETCHES_PER_SECOND = 0.5
"""Reads of one process from its peers, on average."""

FETCHES_BURST = 8.0
"""Reads that one process may make from its peers at once."""

PARSE_BATCH = 16
"""Services that are parsed before other work gets its turn."""

MAX_PUSHED_SERVICES = 16
"""Services up to which a delta is tried for a push."""

MAX_ENCODED_PUSHES = 64
"""Rumours of the version in force that are kept encoded."""

READER_CHECK_SECONDS = 1.0
"""Time between two looks at whether the own process is a reader."""

SNAPSHOT_BYTES_PER_SECOND = 1_000.0
"""Bytes of deltas that one process hands out to peers, on average."""

SNAPSHOT_BYTES_BURST = 2_000_000.0
"""Bytes of deltas that one process may hand out at once."""

START_ANSWER_SECONDS = 2.0
"""Time that a peer has to tell its version to a starting process."""

REPLAY_BODY_BYTES = 65_536
"""Beginning of a request body that is kept to send it again."""

BODY_IDLE_SECONDS = 10.0
"""Silence in a request body after which the request is given up."""

LINGER_SECONDS = 2.0
"""Time for which the rest of a refused request is read and dropped."""

MAX_REQUEST_HEADER_BYTES = 65_536
"""Largest head of a request that the gateway takes."""

MAX_HEADER_READ_BYTES = 262_144
"""Head of a request past which the connection is closed unanswered."""

CHUNK_BYTES = 16_384
"""Part of a body that is read, held and written at once."""

CALLER_IDLE_SECONDS = 300.0
"""Silence after which a caller's idle connection is closed."""

REQUEST_DEADLINE_SECONDS = 30.0
"""Time until an answer must begin, unless the caller asks for less."""

MAX_DEADLINE_SECONDS = 600.0
"""Longest time that a caller may ask for."""

CONNECT_SECONDS = 1.0
"""Time that opening a connection to a target or a mate may take."""

KEEPALIVE_IDLE_SECONDS = 5
"""Silence after which the kernel probes a connection."""

KEEPALIVE_INTERVAL_SECONDS = 2
"""Time between two probes of a silent connection."""

KEEPALIVE_PROBES = 3
"""Unanswered probes after which a connection is dead."""

RETRY_RATIO = 0.1
"""Resends allowed for each request."""

RETRY_BURST = 10.0
"""Resends allowed at once after quiet time."""

MAX_ATTEMPTS = 3
"""Places that one request is tried at."""

SERVICE_TIME_SHARE = 0.1
"""Share of the newest request in the average service time."""

START_SERVICE_SECONDS = 0.1
"""Service time of a target of weight 1 before any is measured."""

QUEUE_SECONDS = 1.0
"""Work that may wait before the slots, by the measured rate."""

MAX_STREAMS = 1_900
"""Long answers that may be open beside the slots."""

STREAM_AFTER_SECONDS = 1.0
"""Time after which an answer still being sent counts as a stream."""

MAX_RETRY_AFTER_SECONDS = 60.0
"""Longest time that a refused caller is told to stay away."""

MAX_SEEN_REQUESTS = 65_536
"""Forwarded requests whose identifiers are remembered."""

PEER_AGENT_AVOID_SECONDS = 5.0
"""Time for which a mate that failed gets no forwarded requests."""

TARGET_DOWN_SECONDS = 1.0
"""Time for which a target that refused a connection takes no new flows."""

STOP_IDLE_SECONDS = 3.0
"""Quiet time after which a stopping gateway closes idle connections."""

PLATFORM_SHARDS = 64
"""Shards that the platform lists the services in."""

SUBSCRIPTIONS_PER_AGENT = 2
"""Balancers that an agent learns versions from."""

SUBSCRIBE_SECONDS = 4.0
"""Time between two renewals of an agent's subscription."""

SUBSCRIPTION_LEASE_SECONDS = 15.0
"""Time for which a balancer tells an agent that does not renew."""

SUBSCRIPTION_SILENCE_SECONDS = 13.0
"""Silence after which an agent takes another balancer."""

MAX_SUBSCRIPTIONS = 4_096
"""Agents that one balancer tells of changes."""

NOTICES_PER_SECOND = 2.0
"""Renewals of an agent that follow versions seen in packets."""

SUBSCRIPTION_RETRY_SECONDS = 120.0
"""Time after which an agent tries a silent balancer again."""

FORWARD_HEADER_CACHE_ENTRIES = 4_096
"""Headers of forwarded packets that a process keeps ready, each way."""

MAX_FORWARD_HEADER_BYTES = 1_024
"""Size above which the header of a forwarded packet is refused."""

MAX_MOVED_PEERS = 64
"""Peers to which a process sends from another port than the published."""

PATH_MOVE_SECONDS = 6.0
"""Time between two moves of the path to a silent peer."""

PATH_MOVE_MAX_SECONDS = 60.0
"""Longest time between two moves of the path to a silent peer."""

PATH_PROBES_PER_SECOND = 2.0
"""Agents whose path a balancer checks each second."""

PATH_PROBE_TRIES = 3
"""Probes without an answer after which a path counts as silent."""

KEEPALIVE_SECONDS = 2.0
"""Time between two heartbeats on a connection."""

KEEPALIVE_TIMEOUT_SECONDS = 7.0
"""Silence after which a connection is closed."""

DOMAIN_SUSPECTS = 3
"""Suspected agents of a failure domain on which the domain is checked."""

DOMAIN_PROBES = 6
"""Agents probed in turn without an answer until their domain is suspected."""

DOMAIN_CHECK_SECONDS = 1.0
"""Time between two probes of a failure domain that is checked."""

PACKED_ADDRESS_CACHE_ENTRIES = 4_096
"""Unpacked addresses that a process keeps ready."""

DOMAIN_RECHECK_SECONDS = 5.0
"""Time between two probes of a failure domain that is suspected."""

DOMAIN_DRAWN_AGENTS = 64
"""Agents of a domain among which one is chosen for a probe."""

STOP_FLOW_SILENCE_SECONDS = 10.0
"""Silence of all callers after which a stopping agent whose gateway is closed
is needed no more; six doublings of the first retransmission time of TCP."""

STOP_POLL_SECONDS = 0.2
"""Time between two looks at what a stopping daemon still works on."""

FABRIC_IDLE_SECONDS = 2.0
"""Silence of the fabric after which a stopping balancer ends."""

REACHABILITY_SAMPLE_AGENTS = 8
"""Agents that a starting balancer asks whether they take its messages."""
