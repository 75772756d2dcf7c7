"""Joins the log lines of several processes on one flow into a time line."""

from datetime import datetime
from datetime import timedelta
from pathlib import Path
import re
from statistics import median

from chicorycart.commands.errors import BadInputError
from chicorycart.commands.errors import NotFoundError

TIME = re.compile(r"\btime=(\S+)")
FIELD = re.compile(r"\b(event|flow)=(\S+)")
CAUSE = "flow_accepted"
EFFECT = "flow_placed"


class LogLine:
    """One line about a flow.

    Attributes
    ----------
    source : str
        Name of the file that holds it.
    time : datetime
        By the clock of the process that wrote it.
    event, flow : str
        Fields of the line.
    text : str
        The whole line.
    """

    __slots__ = ("source", "time", "event", "flow", "text")

    def __init__(
        self, source: str, time: datetime, event: str, flow: str, text: str
    ):
        self.source = source
        self.time = time
        self.event = event
        self.flow = flow
        self.text = text


def trace_flow(flow: str, paths: list[Path]) -> list[str]:
    """Return the lines on a flow in the order in which they happened.

    Clocks differ between machines. An agent logs that its host accepted a
    flow just before a balancer logs that it placed it, so the median of that
    time over all flows of two files tells how far their clocks are apart.

    Parameters
    ----------
    flow : str
        As the logs write it.
    paths : list of Path
        Outputs of processes, one file each.

    Raises
    ------
    BadInputError
        If a file cannot be read.
    NotFoundError
        If no line names the flow.
    """
    files = [read_lines(path) for path in paths]
    offsets = estimate_offsets(files)
    found = [
        (line.time + offsets[number], line)
        for number, lines in enumerate(files)
        for line in lines
        if line.flow == flow
    ]
    if not found:
        raise NotFoundError(f"no line names the flow {flow}")
    found.sort(key=lambda item: item[0])
    return [
        f"{time.isoformat(timespec='microseconds')} {line.source} {line.text}"
        for time, line in found
    ]


def read_lines(path: Path) -> list[LogLine]:
    """Return the lines of a file that name a flow."""
    try:
        text = path.read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        raise BadInputError(f"{path}: {error.strerror}") from error
    lines = (read_line(path.name, line) for line in text.splitlines())
    return [line for line in lines if line is not None]


def read_line(source: str, text: str) -> LogLine | None:
    """Read one line; None if it names no time, event or flow."""
    fields = dict(FIELD.findall(text))
    stamp = TIME.search(text)
    if stamp is None or "flow" not in fields or "event" not in fields:
        return None
    try:
        time = datetime.fromisoformat(stamp.group(1))
    except ValueError:
        return None
    return LogLine(source, time, fields["event"], fields["flow"], text)


def estimate_offsets(files: list[list[LogLine]]) -> list[timedelta]:
    """Return what each file's times need added to stand by the first's.

    A file that shares no flow with one whose offset is known keeps its
    times.
    """
    offsets: dict[int, timedelta] = {0: timedelta()}
    is_changed = True
    while is_changed:
        is_changed = False
        for number, lines in enumerate(files):
            if number in offsets:
                continue
            for known, offset in list(offsets.items()):
                gap = measure_gap(files[known], lines)
                if gap is not None:
                    offsets[number] = offset + gap
                    is_changed = True
                    break
    return [offsets.get(n, timedelta()) for n in range(len(files))]


def measure_gap(
    reference: list[LogLine], other: list[LogLine]
) -> timedelta | None:
    """Return what the other's times need added; None if nothing tells."""
    gaps = []
    for first, second in ((CAUSE, EFFECT), (EFFECT, CAUSE)):
        times = {x.flow: x.time for x in reference if x.event == first}
        gaps += [
            (times[line.flow] - line.time).total_seconds()
            for line in other
            if line.event == second and line.flow in times
        ]
    return timedelta(seconds=median(gaps)) if gaps else None
