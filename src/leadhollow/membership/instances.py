"""Instances of backend servers that announce themselves over HTTP, and their wire records."""

from __future__ import annotations

from enum import IntEnum

from leadhollow.wire.generated.ttypes import InstanceRecord, ServedModel

MAX_COLD_MS = 3_600_000.0  # a longer time is taken for an error of the server


class InstanceState(IntEnum):
    """State that an instance reports for itself."""

    READY = 1
    DRAINING = 2
    GONE = 3


class ServedVersion:
    """Model version that an engine has loaded, in full or in part.

    Parameters
    ----------
    first_layer, end_layer
        Range of loaded layers, ``end_layer`` excluded.
    """

    __slots__ = ("end_layer", "first_layer", "model", "version")

    def __init__(self, *, model: str, version: int, first_layer: int, end_layer: int) -> None:
        self.model = model
        self.version = version
        self.first_layer = first_layer
        self.end_layer = end_layer

    def __eq__(self, other: object) -> bool:
        return isinstance(other, ServedVersion) and self.key() == other.key()

    def __hash__(self) -> int:
        return hash(self.key())

    def key(self) -> tuple[str, int, int, int]:
        """Return the fields that identify it."""
        return self.model, self.version, self.first_layer, self.end_layer

    def to_record(self) -> ServedModel:
        """Convert to a wire record."""
        return ServedModel(self.model, self.version, self.first_layer, self.end_layer)

    @classmethod
    def from_record(cls, record: ServedModel) -> ServedVersion:
        """Convert from a wire record."""
        return cls(
            model=record.model,
            version=int(record.version or 0),
            first_layer=int(record.first_layer or 0),
            end_layer=int(record.end_layer or 0),
        )


class Instance:
    """Last known state of one backend server instance.

    Parameters
    ----------
    instance
        Instance id, which the backend server chooses.
    sequence
        Number of the call; increases within one life.
    born_ms
        Start time of this life by the server's own clock, 0 if not reported. A server may restart
        under its id; nothing from a former life is valid then.
    heard_s
        Loop time of the last sign of life that any process received.
    cold_until_s
        Loop time until which the server is cold, as it said: slower than usual, and able to take
        fewer requests.
    """

    __slots__ = (
        "address",
        "born_ms",
        "cold_until_s",
        "failure_domain",
        "heard_s",
        "instance",
        "sequence",
        "served",
        "service",
        "slots",
        "state",
    )

    def __init__(
        self,
        *,
        instance: str,
        service: str,
        address: str,
        failure_domain: str,
        sequence: int,
        state: InstanceState,
        slots: int,
        served: tuple[ServedVersion, ...],
        heard_s: float,
        cold_until_s: float = 0.0,
        born_ms: int = 0,
    ) -> None:
        self.instance = instance
        self.service = service
        self.address = address
        self.failure_domain = failure_domain
        self.sequence = sequence
        self.state = state
        self.slots = slots
        self.served = served
        self.heard_s = heard_s
        self.cold_until_s = cold_until_s
        self.born_ms = born_ms

    @property
    def life(self) -> str:
        """Id of the current life; differs from ``instance`` because a server may restart."""
        return f"{self.instance}@{self.born_ms}"

    def as_leaving(self) -> Instance:
        """Return a copy that is draining, in the same life."""
        return Instance(
            instance=self.instance,
            service=self.service,
            address=self.address,
            failure_domain=self.failure_domain,
            sequence=self.sequence,
            state=InstanceState.DRAINING,
            slots=self.slots,
            served=self.served,
            heard_s=self.heard_s,
            cold_until_s=self.cold_until_s,
            born_ms=self.born_ms,
        )

    def has_same_content(self, other: Instance) -> bool:
        """Return whether two records are equal except for sequence number and times."""
        return (
            self.service == other.service
            and self.address == other.address
            and self.state == other.state
            and self.slots == other.slots
            and self.served == other.served
        )

    def to_record(self, now_s: float) -> InstanceRecord:
        """Convert to a wire record, with times as ages, because clocks of machines differ."""
        return InstanceRecord(
            self.instance,
            self.service,
            self.address,
            self.failure_domain,
            self.sequence,
            int(self.state),
            self.slots,
            [served.to_record() for served in self.served],
            int((now_s - self.heard_s) * 1000),
            max(0, int((self.cold_until_s - now_s) * 1000)),
            self.born_ms,
        )

    @classmethod
    def from_record(cls, record: InstanceRecord, now_s: float) -> Instance:
        """Convert from a wire record."""
        return cls(
            instance=record.instance,
            service=record.service_name,
            address=record.address,
            failure_domain=record.failure_domain,
            sequence=int(record.sequence or 0),
            state=InstanceState(record.state),
            slots=int(record.slots or 0),
            served=tuple(ServedVersion.from_record(found) for found in record.models or ()),
            heard_s=now_s - (record.heard_age_ms or 0) / 1000,
            cold_until_s=now_s + (record.cold_ms or 0) / 1000,
            born_ms=int(record.born_ms or 0),
        )


__all__ = ["MAX_COLD_MS", "Instance", "InstanceState", "ServedVersion"]
