"""Every limit and time of the steering slice, with its unit."""

from chicorycart.defaults import CURRENT_CANDIDATES

OPENING_TIMEOUT_SECONDS = 0.05
"""Wait for word of an opening packet until another target is tried.

Ten round trips between failure domains of one region (about 2 ms each with
the host's own time), well below the aims that callers have (100 ms and
more).
"""

MAX_OPENING_TARGETS = 4
"""Targets that one opening packet is offered to before the least loaded of
them must take it; the candidates of `defaults.CURRENT_CANDIDATES`."""

MAX_LOAD_AGE_SECONDS = 0.05
"""Age up to which a reported load is taken for the present one; shorter than
most requests take."""

LATE_TIMER_SECONDS = 0.02
"""Delay of the wait for word beyond which the balancer itself was too busy to
hear it."""

MAX_PARKED_SECONDS = 1.0
"""Longest time for which a packet waits until a target that may take it is
heard; about the time until its caller gives the attempt up."""

PROMPT_WAIT_SHARE = 0.7
"""Share of a route's aim that an opening packet may wait and still be answered
promptly; the rest is left for the work of a request, which callers' aims are
four to five times of, and for the network."""

DEFAULT_AIM_SECONDS = 0.15
"""Aim of a route that publishes none; the shortest of the users' callers."""

DEFAULT_TIMEOUT_SECONDS = 2.0
"""Time-out of a route that publishes none; callers there wait for
MAX_PARKED_SECONDS."""

DEFAULT_PRIORITY = 1
"""Priority of a route that publishes none, in the middle of the users'."""

MAX_PARKED = 2_048
"""Packets that wait so at once; 3 MB with the largest."""

QUEUE_PER_SLOT = 3
"""Requests for each slot of a target up to which it gets opening flows; what
is beyond waits at the balancer, where later ones can go first. Callers' aims
are four to five times the work of a request."""

LOAD_STEP_PER_SLOT = 0.5
"""Work for each slot within which a target of the own failure domain goes
before others; half a request costs a caller less than the aims allow."""

RESUME_SECONDS = 0.02
"""Time between two turns in which waiting packets are sent on; a full target
with the shortest requests of the users (5 ms) is through with its queue of
three each slot in 15 ms."""

RESUME_BATCH_PER_SERVICE = 32
"""Waiting packets of a service that are looked at in one turn; ranking the
targets of each takes some 50 us."""

MAX_SEARCH_CANDIDATES = CURRENT_CANDIDATES
"""Targets that are asked at once for an open flow; it was most likely placed
on one of the first candidates."""

SUSPENSION_SECONDS = 0.5
"""First time for which a silent target gets no opening flows; about one
restart of an agent."""

MAX_SUSPENSION_SECONDS = 2.0
"""Longest such time; by then the store has nearly dropped an instance that is
dead (three heartbeats of about a second)."""

PROBE_INTERVAL_SECONDS = 0.05
"""Time between two probes of a suspended target, which end its suspension as
soon as its agent is back; as long as an opening packet waits for word."""

MAX_FLOWS = 65_536
"""Flows that one process remembers: 44 MB at a balancer and 14 MB at an agent
when full (670 and 217 bytes a flow, `python -m measure.steering`); the
smallest instance has 114 MB and sees a few thousand."""

WATCH_SECONDS = 2.0
"""Time for which one watch on the store may wait; with the margin it bounds
the age of a connection that went silent, below the 3 s in which a change
must be in force."""

MIN_WATCH_SECONDS = 0.5
"""Shortest wait of a watch, however tight the bound of changes is."""

WATCH_BOUND_SHARE = 0.6
"""Share of the time in which a change must be in force that one watch may
wait; the rest is left for a new connection and its answer."""

ANSWER_SECONDS = 1.0
"""First time that the store gets for an answer beyond a watch's own wait. A
connection that went silent is left within three seconds so."""

MAX_ANSWER_SECONDS = 8.0
"""Longest such time, after failures: a value of a megabyte takes 2 s on a
link of 5 Mbit/s that carries nothing else."""

GATHER_SECONDS = 0.5
"""Pause between two watches, in which changes gather into one call; small
against the 3 s in which they must be in force."""

LAPSE_SECONDS = 2.0
"""Time for which a target that vanished from the store unannounced is used
behind all others; live ones are listed again within this time."""

RELISTING_SECONDS = LAPSE_SECONDS + GATHER_SECONDS
"""Time after the first answer of the store in which entries that had lapsed
come back; the pause between two watches delays the news of them."""

HISTORY_PROOF_SECONDS = RELISTING_SECONDS + 5.0
"""Time between the starts of two hosts from which on the store's history
surely goes back beyond RELISTING_SECONDS; hosts warm up for some seconds, and
the clocks that they tell their start by may jump as far."""

MIN_STARTED_HOSTS = 2
"""Hosts that took over the address of a former one from which on a deployment
may have started again as a whole; a single one tells nothing of others."""

START_SPREAD_SECONDS = 5.0
"""Time within which the hosts of a deployment start that starts again as a
whole, by their own clocks; a release takes a second for each host."""

HISTORY_STEP = 16
"""Revisions of the first step back in the store's history; about the changes
that a restart of ten hosts makes."""

HISTORY_CALLS = 8
"""Most calls of the store for one look at its history; each takes about
10 ms, and a caller repeats its packet after 200 ms."""

MAX_REMOVED = 4_096
"""Names of removed targets whose last revision is remembered, so that an old
watch cannot list them again; all hosts of a hundred services restarted."""

SWEEP_SECONDS = 1.0
"""Time between two removals of flows that have gone silent."""

FIRST_REQUEST_SECONDS = 0.1
"""Time after its opening in which the first request of a flow is awaited and
counts as work; over ten round trips to callers of the same region (6 ms)."""

MAX_REQUEST_SECONDS = 10.0
"""Time after which a request without an answer no longer counts as work;
twice the longest deadline of a caller."""

LOAD_AVERAGE_SECONDS = 2.0
"""Time in which the weight of past load falls to a third; some dozens of
requests of a target, and the time that long flows pause between theirs."""

STOP_MARGIN_SECONDS = 0.5
"""Time left before the platform ends a stopping process by force."""

RETRY_INITIAL_SECONDS = 0.05
"""Longest wait after the first failed call of the store; ten of its usual
answers."""

RETRY_MAX_SECONDS = 0.5
"""Longest wait after many failures; small against the 3 s in which a change
must be in force after an outage."""

AGENT_STOP_SECONDS = 2.0
"""Longest time that a stopping agent waits for its host's answers; most
requests take a tenth of that."""

PAGES_SECONDS = 1.0
"""Time after which a starting balancer that knows no routes serves its pages,
so that operators see why."""
