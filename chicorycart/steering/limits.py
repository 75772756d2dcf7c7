"""Limits and times of the steering package, with their units."""

from chicorycart.defaults import CURRENT_CANDIDATES

OPENING_TIMEOUT_SECONDS = 0.05
"""Time to wait for the answer to an offered opening packet before another
target is tried.

Ten round trips between failure domains of one region (about 2 ms each with the
host's own time), well below callers' latency objectives (100 ms and more).
"""

MAX_OPENING_TARGETS = 4
"""Targets that one opening packet is offered to before it is queued at the
least loaded of them; the candidates of `defaults.CURRENT_CANDIDATES`."""

MAX_LOAD_AGE_SECONDS = 0.05
"""Age up to which a reported load counts as the present one; shorter than most
requests take."""

LATE_TIMER_SECONDS = 0.02
"""Delay of the opening timer from which the balancer itself was too busy to
read the answer in time."""

COLD_WINDOW_SECONDS = 1.05
"""Window in which an agent counts the openings that it passes on to a cold
host. The operators' limit is for one second; the rest is for the variation of
the delay between agent and host, which run beside each other (about 1 ms, more
while either is delayed by others)."""

LIMIT_MEMORY_SECONDS = 1.0
"""Time for which the lowest limit of openings that a balancer told holds,
since balancers may have different versions of the configuration."""

RESTART_SILENCE_SECONDS = 0.3
"""Silence after an opening packet from which a host may have restarted; a
host that only works slowly still accepts flows at once."""

JOINT_START_SECONDS = 2.0
"""Time after the start of an agent within which its host, if silent, is taken
to start with it, as after a loss of power: hosts take about as long."""

ENTRY_DELAY_SECONDS = 1.0
"""Time after its first word in which balancers read the entry of a host that
restarted: GATHER_SECONDS to 0.75 s at the usual bounds, and the time that the
host needs to write it."""

COLD_STEP_SECONDS = 0.1
"""Step to which the rest of a cold time is rounded up in a delivery's header:
few headers differ, so that encoded ones can be cached."""

COLD_WORK_FACTOR = 1.6
"""Factor on the expected work of a cold target, which takes longer for the
same requests; 1 / 1.6 of the work of a warm one goes to it at equal load."""

MAX_PARKED_SECONDS = 1.0
"""Longest time that a packet waits for a target that can take it; about the
time after which its caller gives the attempt up."""

PROMPT_WAIT_SHARE = 0.7
"""Share of a route's latency objective that an opening packet may wait and
still be answered promptly. The rest is left for the request itself, which
takes a fourth to a fifth of callers' objectives, and for the network."""

DEFAULT_AIM_SECONDS = 0.15
"""Latency objective of a route that publishes none; the shortest one of the
users' callers."""

DEFAULT_TIMEOUT_SECONDS = 2.0
"""Timeout of a route that publishes none; packets of such a route may wait for
the whole of MAX_PARKED_SECONDS."""

DEFAULT_PRIORITY = 1
"""Priority of a route that publishes none; in the middle of the users' values.
"""

MAX_PARKED = 2_048
"""Most packets that wait at once; 3 MB with packets of the largest size."""

QUEUE_PER_SLOT = 3
"""Requests for each slot of a target, running and queued, up to which it gets
opening flows. Further flows wait at the balancer, where later ones can
overtake them. Callers' latency objectives are four to five times the work of a
request."""

LOAD_STEP_PER_SLOT = 0.5
"""Step, in requests per slot, by which the loads of targets are compared:
within one step, targets of the own failure domain are preferred. Half a
request delays a caller by less than the latency objectives allow."""

RESUME_SECONDS = 0.02
"""Interval between two turns in which waiting packets are sent; a full target
with the users' shortest requests (5 ms) works off its queue of three for each
slot in 15 ms."""

RESUME_BATCH_PER_SERVICE = 32
"""Waiting packets of a service that are looked at in one turn; ranking the
targets of each takes some 50 us."""

SEARCH_GROUP = CURRENT_CANDIDATES
"""Targets that are asked at once for the owner of an open flow, and that each
repetition of its caller adds; the flow was most likely placed on one of the
first candidates. Larger groups of many searches at once fill thin links."""

RANKED_TARGETS = 64
"""Targets of services that no known version named for an entry that are ranked
at once for a flow, in steps of whole services: 0.1 ms, and 0.5 KB. Most flows
are found before, and there may be 38,000 targets."""

MAX_CLOSING_TARGETS = 9 * SEARCH_GROUP
"""Targets that the end of a flow is offered to: no caller waits for it, and a
host forgets an idle flow by itself."""

RETRY_BATCH = 64
"""Undecided flows that are looked at in one turn; ranking the targets of each
takes some 100 us."""

MAX_UNDECIDED_SECONDS = 10.0
"""Time after its caller's last packet for which a flow stays undecided; longer
than any caller waits."""

MIN_REPETITION_SECONDS = 0.1
"""Time after which a packet with an old sequence number counts as a repetition
of the caller; before, the network may have reordered packets in flight.
Callers repeat after 200 ms or more."""

MAX_HELD_PACKETS = 8
"""Packets of one flow that wait while its owner is searched for: 20 MB with
MAX_PARKED flows and packets of the largest size. Callers have up to 16 in
flight and repeat the others."""

MAX_SEEN_PACKETS = 32
"""Packets of one flow whose copies are recognised; twice the number that
callers have in flight."""

LEAVING_PROBE_SECONDS = 0.15
"""Interval between two probes of a leaving target."""

ENDED_PROBE_SECONDS = 1.0
"""Interval between two probes of a target that seems to have ended; small
against the 4 s after a fault in which no bound holds."""

MAX_UNANSWERED_PROBES = 6
"""Probes in a row without an answer after which a leaving target has ended:
0.9 s, more than an agent takes to restart."""

MAX_UNANSWERED_FIRST_PROBES = 3
"""The same for a target that was never heard, known from the store's history
alone: 0.45 s, in which callers of flows that ended are not reset."""

MAX_UNANSWERED_UNCONFIGURED_PROBES = 17
"""The same for a listed host of a service that no configuration names: 2.5 s,
RELISTING_SECONDS, since its agent may restart or be out of reach. Entries of
other programs, where no agent answers, delay the resets of flows that no host
holds for that long after a balancer starts."""

LEAVING_SILENCE_SECONDS = 1.0
MIN_UNANSWERED_QUESTIONS = 3
"""Time, and packets of searches in a row, without an answer after which the
host of a leaving target has ended although its agent answers probes. A host
returns at once what it does not hold, and acknowledges what a caller repeats;
callers repeat twice in 0.6 s."""

SUSPENSION_SECONDS = 0.5
"""First time for which an unresponsive target is suspended; about as long as
an agent takes to restart."""

MAX_SUSPENSION_SECONDS = 2.0
"""Longest suspension; by then the store has nearly dropped the entry of a dead
instance (three heartbeats of about a second)."""

PROBE_INTERVAL_SECONDS = 0.05
"""Interval between two probes of a suspended target, which end its suspension
as soon as its agent is back; equal to the timeout of an offered opening
packet."""

MAX_FLOWS = 65_536
"""Flows that one process keeps: 44 MB at a balancer and 14 MB at an agent when
full (670 and 217 bytes a flow, `python -m measure.steering`). The smallest
instance has 114 MB and sees a few thousand flows."""

WATCH_SECONDS = 2.0
"""Longest time that one watch call may wait at the store. Together with
ANSWER_SECONDS it bounds how long a dead connection goes unnoticed: 3 s, the
time in which a change must be in force."""

MIN_WATCH_SECONDS = 0.5
"""Shortest wait of a watch call, however short the time is in which a change
must be in force."""

WATCH_BOUND_SHARE = 0.6
"""Share of the time in which a change must be in force that one watch call may
wait; the rest is left for a new connection and its answer."""

ANSWER_SECONDS = 1.0
"""Longest time without data of an answer, beyond the watch's own wait. With
WATCH_SECONDS, a dead connection is given up within 3 s."""

RETURN_SECONDS = 0.9
"""Longest time without data while the store seems unreachable, so that its
return is noticed within a second. Jitter shortens it by up to RETURN_JITTER.
"""

RETURN_JITTER = 0.3

SILENCE_PAUSE_SECONDS = 0.05
"""Longest wait after a call without an answer, which spaces calls itself."""

MIN_PATIENT_SECONDS = 2.0
MAX_PATIENT_SECONDS = 8.0
"""Shortest and longest time without data that the patient call bears, so that
a store with slow answers is read too. It doubles after each one in vain."""

MAX_TRANSFER_SECONDS = 8.0
"""Further time for an answer that keeps arriving: one of a megabyte takes 2 s
on a link of 5 Mbit/s that carries nothing else."""

GATHER_SECONDS = 0.5
"""Shortest usual pause between two watch calls, so that several changes come
in one answer; small against the 3 s in which they must be in force."""

GATHER_BOUND_SHARE = 0.25
"""Share of the time in which a change must be in force for which changes may
gather: all balancers share the calls that the store bears, and a change also
waits for a call that fails and its repetition."""

MIN_GATHER_SECONDS = 0.2
"""Pause between two watch calls that is kept also if a decision waits for the
second one: callers repeat their packets after as much."""

CONFIRMATION_SECONDS = 0.1
"""Shortest pause between two calls that confirm what is known while decisions
wait: callers repeat their packets after 200 ms."""

MAX_CONFIRMATION_SECONDS = 1.6
"""Longest such pause, after calls that failed: the store may have too many
callers."""

MAX_GATHERED = 250
"""Changes in one answer from which more may be waiting, since answers are cut,
so that the next call follows at once; half of the store's usual limit."""

LAPSE_SECONDS = 2.0
"""Time for which a target whose entry vanished from the store without draining
is still used, after all others; the entries of live targets are listed again
within this time."""

RELISTING_SECONDS = LAPSE_SECONDS + GATHER_SECONDS
"""Time after the store's first answer within which lapsed entries of live
targets are listed again; the pause between two watch calls delays these
changes."""

HISTORY_PROOF_SECONDS = RELISTING_SECONDS + 5.0
"""Time between the starts of two hosts from which the store's history surely
reaches back beyond RELISTING_SECONDS. Hosts warm up for some seconds, and the
clocks by which they report their start may be off by as much."""

MIN_STARTED_HOSTS = 2
"""Hosts that took over the address of a former one from which on the whole
deployment may have been restarted; a single one says nothing about others."""

START_SPREAD_SECONDS = 5.0
"""Time, by the hosts' own clocks, within which the hosts of a deployment start
when the whole of it is restarted; a release takes a second for each host."""

HISTORY_STEP = 50
"""Revisions of the first step back in the store's history. The second one is
eight times as long, 400, and with the first still fits into one answer of 500
changes."""

HISTORY_CALLS = 16
"""Most calls of the store for one reading of its history: 8,000 changes. Each
takes about 10 ms, and a caller retransmits its packet after 200 ms."""

MAX_REMOVED = 4_096
"""Removed targets whose last revision is kept, so that an out-of-date watch
answer can't list them again; as many as all hosts of a hundred services have
when they restart."""

EVACUATION_NOTICES = 32
"""Agents of an evacuated domain that one balancer notifies at a time. Four
balancers reach nearly all agents of a domain of fifty."""

EVACUATION_NOTICE_SECONDS = 5.0
"""Interval between two notices of an evacuation: 0.5 KB a second with some 80
bytes each. Agents that restarted learn of it within this time."""

EVACUATION_NOTICE_LIFE_SECONDS = 3 * EVACUATION_NOTICE_SECONDS
"""Time for which an agent believes a notice, so that two of them may be lost.
"""

DECLINED_SECONDS = 1.0
"""Time for which an agent gets no opening flows after it declined one for an
evacuation of which the balancer does not know; about as long as a balancer
takes to read a change of the store."""

MAX_DOMAIN_CHARACTERS = 255
"""Longest name of an evacuated domain; no target has a longer one."""

MAX_TAKEN_BACK = 1_024
"""Domains whose former evacuation is remembered; far more than there are."""

MAX_UNUSED = 64
"""Evacuations without a usable name that are logged once each."""

MAX_KNOWN_WRITES = 16
"""Last evacuations of a domain that are recognised in a copy of the store."""

SWEEP_SECONDS = 1.0
"""Interval between two removals of idle flows."""

FIRST_REQUEST_SECONDS = 0.1
"""Time after its opening for which a flow counts as work before its first
request has come; over ten round trips to callers of the same region (6 ms)."""

MAX_REQUEST_SECONDS = 10.0
"""Time after which a request without an answer no longer counts as work; twice
the longest deadline of a caller."""

LOAD_AVERAGE_SECONDS = 2.0
"""Time constant of the mean load: the weight of past load falls to a third in
this time. A target serves some dozens of requests in it, and long flows pause
for about as long between theirs."""

STOP_MARGIN_SECONDS = 0.5
"""Time left before the platform kills a stopping process."""

RETRY_INITIAL_SECONDS = 0.05
"""Longest wait after the first failed call of the store; ten times its usual
answer time."""

RETRY_MAX_SECONDS = 0.5
"""Longest wait after many failed calls; small against the 3 s in which a
change must be in force after an outage."""

AGENT_STOP_SECONDS = 2.0
"""Longest time that a stopping agent waits for its host's answers; most
requests take a tenth of that."""

PAGES_SECONDS = 1.0
"""Time after which a starting balancer that has read no routes serves its
pages anyway, so that operators can see why it is not ready."""

RATED_REQUESTS = 32
"""Last requests of a host whose times of work are averaged: the mean of as
many is known to a fifth although a few in a hundred take seven times as long.
"""

RATE_SECONDS = 4.0
"""Age up to which a request, or a report of a host's time of work, tells the
present one: hosts are slow for 5 to 8 s and must be used again soon after."""

MIN_RATED_REQUESTS = 4
"""Requests from which their mean time of work is known; fewer may all be of a
rare kind."""

UNANSWERED_SECONDS = 2.0
"""Time of work after which a request counts as failed: callers' shortest
timeout, in which a host that is eight times slower than others answers."""

REORDERED_SECONDS = 0.01
"""Difference in arrival at an agent up to which a host may run two requests in
either order; ten hops within a region."""

MEDIAN_SECONDS = 0.2
"""Age up to which the median time of work of a service's targets is used; that
of 136 targets takes as long as a few placements."""

MIN_RATIO = 0.25
MAX_RATIO = 8.0
"""Bounds of a target's time of work relative to its service's median: the
slowest hosts are eight times slower, and one that seems faster than four times
is measured wrongly."""

EQUAL_RATIO = 1.25
"""Ratio of two times of work up to which targets count as alike: the mean of
32 requests, some of which take seven times as long, varies by as much."""
