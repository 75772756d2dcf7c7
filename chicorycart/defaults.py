"""Every default value, with its unit, in one place."""

BUCKETS_PER_SERVICE = 4096
"""Buckets that the flows of one service are hashed into."""

CURRENT_CANDIDATES = 2
"""Targets of the version in force that may accept an opening flow."""

CHOICE_HYSTERESIS = 0.1
"""Share by which another candidate must be less loaded to get a flow."""

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

STRENGTH_WINDOW_SECONDS = 10.0
"""Time between two changes of a target's measured strength."""

MIN_MEASURED_WORKS = 10
"""Ended works that a measurement of strength needs."""

MAX_MEASURED_WORK_SECONDS = 10.0
"""Duration above which a work does not count for the strength."""

STRENGTH_MAX_STEP = 1.25
"""Factor by which one measurement may change the strength."""

STRENGTH_SMOOTHING = 0.25
"""Share of a new measurement in the strength."""

SLOW_START_SECONDS = 30.0
"""Time in which a new target's reported strength rises to the whole."""

SLOW_START_INITIAL_SHARE = 0.1
"""Share of its strength that a new target reports at its start."""
