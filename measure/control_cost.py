"""Measures size and processor time of each control message.

Prints one JSON object a line: ``python -m measure.control_cost``. Bytes
include the kind's byte and 28 bytes of headers, as on an IPv4 network;
times are of one core, the best of five rounds.
"""

from collections.abc import Callable
from json import dumps
from time import process_time

from chicorycart.address import Address
from chicorycart.address import pack_address
from chicorycart.configuration.messages import decode_subscription
from chicorycart.configuration.messages import decode_update
from chicorycart.configuration.messages import encode_subscription
from chicorycart.configuration.messages import encode_update
from chicorycart.configuration.messages import ServiceUpdate
from chicorycart.configuration.messages import Subscription
from chicorycart.flows.messages import decode_record
from chicorycart.flows.messages import encode_record
from chicorycart.flows.messages import OwnerRecord
from chicorycart.membership.messages import decode_heartbeat
from chicorycart.membership.messages import decode_suspicions
from chicorycart.membership.messages import encode_heartbeat
from chicorycart.membership.messages import encode_suspicions
from chicorycart.membership.messages import Heartbeat
from chicorycart.membership.messages import SuspicionMessage
from chicorycart.membership.messages import SuspicionRecord
from chicorycart.placement.load import Load

HEADER_BYTES = 29
ROUNDS = 5
CALLS = 2_000
MICROSECONDS = 1e6
SOURCE = Address("192.0.2.1", 7001)
SENDER = pack_address(SOURCE)
SERVICE = 1 << 60
INCARNATION = 1 << 57
DIGEST = "0123456789abcdef"
RECORDS = 20
MANY_BUCKETS = frozenset(range(0, 4096, 2))


def time_call(call: Callable[[], object]) -> float:
    """Return the processor time of one call, in microseconds."""
    best = float("inf")
    for _ in range(ROUNDS):
        began = process_time()
        for _ in range(CALLS):
            call()
        best = min(best, process_time() - began)
    return round(MICROSECONDS * best / CALLS, 2)


def report(
    name: str,
    encode: Callable[[], bytes],
    decode: Callable[[bytes], object],
) -> None:
    """Print the size of a message and the time of each direction."""
    body = encode()
    row = {
        "message": name,
        "bytes": len(body) + HEADER_BYTES,
        "encode_us": time_call(encode),
        "decode_us": time_call(lambda: decode(body)),
    }
    print(dumps(row), flush=True)


def make_suspicions(count: int) -> SuspicionMessage:
    """Return a message with that many records."""
    records = [
        SuspicionRecord(SENDER + number, INCARNATION, 1, 60.0, True)
        for number in range(count)
    ]
    return SuspicionMessage(SENDER, False, records)


def main() -> None:
    """Print one line a message."""
    heartbeat = Heartbeat(
        SENDER, SERVICE, INCARNATION, 7, 5_700, Load(3, 1, 20.0)
    )
    report(
        "heartbeat",
        lambda: encode_heartbeat(heartbeat),
        lambda body: decode_heartbeat(body, SOURCE),
    )
    for count in (1, RECORDS):
        message = make_suspicions(count)
        report(
            f"suspicions, {count} records",
            lambda message=message: encode_suspicions(message),
            lambda body: decode_suspicions(body, SOURCE),
        )
    for buckets in (frozenset((7,)), MANY_BUCKETS):
        record = OwnerRecord(SERVICE, SENDER, INCARNATION, 1, 90.0, buckets)
        report(
            f"owner record, {len(buckets)} buckets",
            lambda record=record: encode_record(record),
            decode_record,
        )
    subscription = Subscription("dispatch", 5_700, DIGEST)
    report(
        "subscription",
        lambda: encode_subscription(subscription),
        decode_subscription,
    )
    update = ServiceUpdate(5_700, DIGEST)
    report("version notice", lambda: encode_update(update), decode_update)


if __name__ == "__main__":
    main()
