"""The messages by which processes tell each other of versions."""

from pathlib import Path
import zlib

import capnp

from chicorycart.configuration.errors import MessageError
from chicorycart.defaults import MAX_DELTA_BYTES

SCHEMA = capnp.load(str(Path(__file__).with_name("messages.capnp")))
TRAVERSAL_LIMIT_WORDS = MAX_DELTA_BYTES


class Delta:
    """What turns any version from a base on into a later version.

    Attributes
    ----------
    base : int
        Lowest version that it may be applied to; 0 for a whole version.
    version : int
        The version that it leads to.
    fingerprint : int
        Checksum of the whole version that it leads to.
    changed : dict of str to bytes
        Published values by name of their service.
    removed : list of str
        Names of services that are gone.
    """

    __slots__ = ("base", "version", "fingerprint", "changed", "removed")

    def __init__(
        self,
        base: int,
        version: int,
        fingerprint: int,
        changed: dict[str, bytes],
        removed: list[str],
    ):
        self.base = base
        self.version = version
        self.fingerprint = fingerprint
        self.changed = changed
        self.removed = removed


class VersionPush:
    """Tells a peer of a version.

    Attributes
    ----------
    version : int
        The version that the sender has in force.
    delta : bytes
        Encoded `Delta` that leads to it; empty if it is not sent along.
    """

    __slots__ = ("version", "delta")

    def __init__(self, version: int, delta: bytes = b""):
        self.version = version
        self.delta = delta


class Digest:
    """What a process has in force, for comparison.

    Attributes
    ----------
    version, fingerprint : int
        The version in force and its checksum.
    wants_reply : bool
        Whether the receiver is to answer with its own.
    """

    __slots__ = ("version", "fingerprint", "wants_reply")

    def __init__(self, version: int, fingerprint: int, wants_reply: bool):
        self.version = version
        self.fingerprint = fingerprint
        self.wants_reply = wants_reply


class Subscription:
    """An agent asks a balancer for changes of its own service.

    Attributes
    ----------
    service : str
        Name of the service.
    version : int
        Version that the agent has in force.
    digest : str
        Digest of the service's state there, empty for none.
    """

    __slots__ = ("service", "version", "digest")

    def __init__(self, service: str, version: int, digest: str):
        self.service = service
        self.version = version
        self.digest = digest


class ServiceUpdate:
    """The state of one service at a version.

    Attributes
    ----------
    version : int
        The version.
    digest : str
        Digest of the service's value, empty if there is no such service.
    body : bytes
        The published value; empty if it is not sent along.
    """

    __slots__ = ("version", "digest", "body")

    def __init__(self, version: int, digest: str, body: bytes = b""):
        self.version = version
        self.digest = digest
        self.body = body


def encode_delta(delta: Delta) -> bytes:
    """Return a delta in wire form, compressed."""
    message = SCHEMA.Delta.new_message(
        base=delta.base,
        version=delta.version,
        fingerprint=delta.fingerprint,
        removed=delta.removed,
    )
    values = message.init("changed", len(delta.changed))
    for value, (name, body) in zip(values, delta.changed.items(), strict=True):
        value.name = name
        value.body = body
    return zlib.compress(message.to_bytes())


def decode_delta(body: bytes) -> Delta:
    """Read a delta in wire form.

    Raises
    ------
    MessageError
        If it is not a delta or is larger than a delta may be.
    """
    try:
        with SCHEMA.Delta.from_bytes(
            expand(body), traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        ) as message:
            return Delta(
                message.base,
                message.version,
                message.fingerprint,
                {value.name: bytes(value.body) for value in message.changed},
                list(message.removed),
            )
    except (capnp.KjException, ValueError) as error:
        raise MessageError("not a delta") from error


def expand(body: bytes) -> bytes:
    """Decompress a body, up to the size that is allowed.

    Raises
    ------
    MessageError
        If it is not compressed or is larger.
    """
    expander = zlib.decompressobj()
    try:
        plain = expander.decompress(body, MAX_DELTA_BYTES)
    except zlib.error as error:
        raise MessageError("not compressed") from error
    if not expander.eof:
        raise MessageError("cut off or larger than allowed")
    return plain


def encode_version_push(version_push: VersionPush) -> bytes:
    """Return a rumour in wire form."""
    return SCHEMA.Rumour.new_message(
        version=version_push.version, delta=version_push.delta
    ).to_bytes_packed()


def decode_version_push(body: bytes) -> VersionPush:
    """Read a rumour in wire form; raise `MessageError` if it is none."""
    try:
        message = SCHEMA.Rumour.from_bytes_packed(body)
        return VersionPush(message.version, bytes(message.delta))
    except (capnp.KjException, ValueError) as error:
        raise MessageError("not a rumour") from error


def encode_digest(digest: Digest) -> bytes:
    """Return a digest in wire form."""
    return SCHEMA.Digest.new_message(
        version=digest.version,
        fingerprint=digest.fingerprint,
        wantsReply=digest.wants_reply,
    ).to_bytes_packed()


def decode_digest(body: bytes) -> Digest:
    """Read a digest in wire form; raise `MessageError` if it is none."""
    try:
        message = SCHEMA.Digest.from_bytes_packed(body)
        return Digest(message.version, message.fingerprint, message.wantsReply)
    except (capnp.KjException, ValueError) as error:
        raise MessageError("not a digest") from error


def encode_subscription(subscription: Subscription) -> bytes:
    """Return a subscription in wire form."""
    return SCHEMA.Subscription.new_message(
        service=subscription.service,
        version=subscription.version,
        digest=subscription.digest,
    ).to_bytes_packed()


def decode_subscription(body: bytes) -> Subscription:
    """Read a subscription; raise `MessageError` if it is none."""
    try:
        message = SCHEMA.Subscription.from_bytes_packed(body)
        return Subscription(message.service, message.version, message.digest)
    except (capnp.KjException, ValueError) as error:
        raise MessageError("not a subscription") from error


def encode_update(update: ServiceUpdate) -> bytes:
    """Return a service update in wire form."""
    return SCHEMA.ServiceUpdate.new_message(
        version=update.version,
        digest=update.digest,
        body=zlib.compress(update.body) if update.body else b"",
    ).to_bytes_packed()


def decode_update(body: bytes) -> ServiceUpdate:
    """Read a service update; raise `MessageError` if it is none."""
    try:
        message = SCHEMA.ServiceUpdate.from_bytes_packed(body)
        packed = bytes(message.body)
        return ServiceUpdate(
            message.version, message.digest, expand(packed) if packed else b""
        )
    except (capnp.KjException, ValueError) as error:
        raise MessageError("not a service update") from error
