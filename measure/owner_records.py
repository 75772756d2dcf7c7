"""Compares ways to tell others of displaced flows, by bytes.

Run ``python -m measure.owner_records``; it prints one JSON object a line.
"""

from json import dumps
from random import Random

import capnp

from chicorycart.defaults import BUCKETS_PER_SERVICE
from chicorycart.defaults import CURRENT_CANDIDATES
from chicorycart.defaults import OWNER_LEASE_SECONDS
from chicorycart.defaults import OWNER_REFRESH_SECONDS
from chicorycart.flows.messages import encode_record
from chicorycart.flows.messages import OwnerRecord

FLOWS_PER_HOST = 140_000_000 // 38_000
FLOW_COUNTS = (1, 10, 100, 1_000, FLOWS_PER_HOST)
PEER_AGENTS = 9
MAX_FLOWS_PER_MESSAGE = 150
SEED = 1

FLOW_RECORDS = capnp.load(__file__.replace("owner_records.py", "flows.capnp"))


def measure_flow_records(flows: list[bytes]) -> int:
    """Return the bytes of one round with a record a flow.

    Each flow goes to its candidates, in messages that fit a packet.
    """
    total = 0
    for start in range(0, len(flows), MAX_FLOWS_PER_MESSAGE):
        message = FLOW_RECORDS.FlowRecords.new_message(
            service=1, owner=2, incarnation=3, sequence=4
        )
        part = flows[start : start + MAX_FLOWS_PER_MESSAGE]
        message.hashes = [int.from_bytes(flow, "big") for flow in part]
        total += 1 + len(message.to_bytes())
    return total * CURRENT_CANDIDATES


def measure_bucket_records(buckets: frozenset[int]) -> int:
    """Return the bytes of one round with a record a bucket."""
    record = OwnerRecord(1, 2, 3, 4, OWNER_LEASE_SECONDS, buckets)
    return (1 + len(encode_record(record))) * PEER_AGENTS


def main() -> None:
    """Print both costs for some numbers of displaced flows."""
    random = Random(SEED)
    for count in FLOW_COUNTS:
        flows = [random.randbytes(8) for _ in range(count)]
        buckets = frozenset(
            random.randrange(BUCKETS_PER_SERVICE) for _ in flows
        )
        by_flow = measure_flow_records(flows)
        by_bucket = measure_bucket_records(buckets)
        line = {
            "displaced_flows": count,
            "buckets": len(buckets),
            "flow_round_bytes": by_flow,
            "bucket_round_bytes": by_bucket,
            "flow_bytes_per_second": by_flow / OWNER_REFRESH_SECONDS,
            "bucket_bytes_per_second": by_bucket / OWNER_REFRESH_SECONDS,
            "chance_of_extra_hop": len(buckets) / BUCKETS_PER_SERVICE,
        }
        print(dumps(line))


if __name__ == "__main__":
    main()
