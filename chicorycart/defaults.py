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

MAX_REQUEST_BODY_BYTES = 16_777_216
"""Largest request body the gateway takes."""

LOG_SAMPLE = 1.0
"""Share of routing decisions that are logged."""

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

MATE_AVOID_SECONDS = 5.0
"""Time for which a mate that failed gets no forwarded requests."""

TARGET_DOWN_SECONDS = 1.0
"""Time for which a target that refused a connection takes no new flows."""

STOP_IDLE_SECONDS = 3.0
"""Quiet time after which a stopping gateway closes idle connections."""
