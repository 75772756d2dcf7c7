"""What a balancer knows of the evacuation of one failure domain."""

from collections import OrderedDict

from chicorycart.steering.limits import MAX_KNOWN_WRITES


class DomainState:
    """What is known of the evacuation of one failure domain.

    Attributes
    ----------
    is_evacuated : bool
        Whether it is evacuated; otherwise its evacuation was taken back.
    era, revision : int
        Position in the store of the last change.
    is_former : bool
        Whether the store was restored from a copy since, and the copy does
        not confirm this state.
    evacuated_at : float
        Time at which this process learnt of the evacuation.
    taken_back_at : float or None
        Time at which this process saw that it was taken back.
    writes : OrderedDict of int to None
        Revisions of the items that evacuated it, oldest first; a copy of the
        store may bring them back.
    """

    __slots__ = (
        "is_evacuated",
        "era",
        "revision",
        "is_former",
        "evacuated_at",
        "taken_back_at",
        "writes",
    )

    def __init__(self, era: int, revision: int):
        self.is_evacuated = False
        self.era = era
        self.revision = revision
        self.is_former = False
        self.evacuated_at = 0.0
        self.taken_back_at: float | None = None
        self.writes: OrderedDict[int, None] = OrderedDict()

    def record_write(self, revision: int) -> None:
        """Remember the revision of an item that evacuated the domain."""
        self.writes[revision] = None
        if len(self.writes) > MAX_KNOWN_WRITES:
            self.writes.popitem(last=False)


class Transition:
    """A domain that was evacuated or taken back.

    Attributes
    ----------
    domain : str
        Its name.
    is_evacuated : bool
        Whether it was evacuated.
    era, revision : int
        Position in the store of the change.
    source : str
        ``store`` or ``agent``: where this process learnt of it.
    seconds : float
        Time for which it had been evacuated; 0 if it just was.
    """

    __slots__ = (
        "domain",
        "is_evacuated",
        "era",
        "revision",
        "source",
        "seconds",
    )

    def __init__(
        self,
        domain: str,
        is_evacuated: bool,
        era: int,
        revision: int,
        source: str,
        seconds: float = 0.0,
    ):
        self.domain = domain
        self.is_evacuated = is_evacuated
        self.era = era
        self.revision = revision
        self.source = source
        self.seconds = seconds


class HeardEvacuation:
    """An evacuation that only agents told of.

    Attributes
    ----------
    era, revision : int
        Position in the store of its item.
    heard_at : float
        Time at which an agent told of it.
    """

    __slots__ = ("era", "revision", "heard_at")

    def __init__(self, era: int, revision: int, heard_at: float):
        self.era = era
        self.revision = revision
        self.heard_at = heard_at
