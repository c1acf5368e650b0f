"""Calls of operators and engines to a control replica, in the platform's format.

Operators read and replace the configuration, name versions of weights, and evacuate and restore
failure domains. Engines send heartbeats and deregister.
"""

from __future__ import annotations

import re
from typing import Annotated
from urllib.parse import unquote

import msgspec
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.control.api import (
    Announce,
    ControlRequest,
    ControlResponse,
    Deregister,
    GetRouteTable,
    NameWeightsVersion,
    PutRouteTable,
    SetDomainEvacuation,
)
from leadhollow.failure import Failure
from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import RequestHead
from leadhollow.membership.instances import (
    MAX_COLD_MS,
    Instance,
    InstanceState,
    ServedVersion,
)
from leadhollow.observe.unknown_fields import UnknownFields
from leadhollow.platform.configuration import read_configuration
from leadhollow.routing.validation import check_table

CONFIGURATION_PATH = "/-/config"
VERSION_PATH = "/-/version-put"
INSTANCES_PATH = "/-/instances/"
EVACUATIONS_PATH = "/-/evacuations/"
INSTANCE_STATES = {"ready": InstanceState.READY, "draining": InstanceState.DRAINING}
MAX_SLOTS = 100_000  # a larger number is taken for an error in the heartbeat
MAX_TIME_MS = (1 << 63) - 1  # largest integer that messages between processes can carry
ALL_LAYERS_END = 1 << 20  # end of the range of an engine that reports no layers and so has all


class LoadedModel(msgspec.Struct, frozen=True):
    """A model that an engine has loaded; ``version`` is the version of its weights."""

    name: str
    version: int = 0


class LoadedLayers(msgspec.Struct, frozen=True):
    """Range of layers that an engine has loaded; ``target`` is the layer after the last one."""

    first: int = msgspec.field(name="from", default=0)
    target: int = 0
    version: int = 0


class Heartbeat(msgspec.Struct, frozen=True, rename="camel"):
    """Heartbeat of an engine.

    ``born`` is the start time of the engine in Unix milliseconds. Engines also send
    their software version as ``version``; it is not decoded.
    """

    service: str
    address: str
    zone: str
    state: str
    sequence: int
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)] = 1
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_MS)] = 0
    cold_remaining_ms: float = 0.0
    models: tuple[LoadedModel, ...] = ()
    layers: tuple[LoadedLayers, ...] | LoadedLayers | None = None


class DeregistrationDocument(msgspec.Struct, frozen=True):
    """Optional body of a deregistration; ``born`` is the start time in Unix milliseconds."""

    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_MS)] = 0


class VersionDocument(msgspec.Struct, frozen=True):
    """Command that names a version of a model's weights as the newest one."""

    model: str
    version: int


STRAY_PERCENT = re.compile("%(?![0-9A-Fa-f]{2})")
KNOWN_HEARTBEAT_FIELDS = frozenset({*Heartbeat.__struct_encode_fields__, "stage", "version"})

_members = msgspec.json.Decoder(dict[str, msgspec.Raw])
_deregistrations = msgspec.json.Decoder(DeregistrationDocument)
_heartbeats = msgspec.json.Decoder(Heartbeat)
_versions = msgspec.json.Decoder(VersionDocument)


class PlatformControl:
    """Decodes control calls and writes the responses."""

    __slots__ = ("_unknown",)

    def __init__(self) -> None:
        self._unknown = UnknownFields(message="heartbeat", known=KNOWN_HEARTBEAT_FIELDS)

    def parse_request(
        self, head: RequestHead, body: bytes, now_s: float
    ) -> Result[ControlRequest, Failure]:
        """Decode a control call.

        Parameters
        ----------
        now_s
            Time of receipt; times that a heartbeat gives as durations count from it.
        """
        path = head.path
        method = head.method.decode("latin-1")
        if path == CONFIGURATION_PATH and method == "PUT":
            return _read_table(body)
        if path == CONFIGURATION_PATH and method == "GET":
            return Ok(GetRouteTable())
        if path == VERSION_PATH and method == "POST":
            return _read_version(body)
        if path.startswith(EVACUATIONS_PATH) and method in ("POST", "DELETE"):
            return _read_evacuation(path.removeprefix(EVACUATIONS_PATH), method)
        if path.startswith(INSTANCES_PATH):
            instance = path.removeprefix(INSTANCES_PATH)
            if method == "PUT":
                heartbeat = _read_heartbeat(instance, body, now_s)
                if heartbeat.is_ok():
                    self._unknown.check_members(_members.decode(body), sender=instance)
                return heartbeat
            if method == "DELETE":
                return _read_deregistration(instance, body)
        return Err(Failure(code=Code.SERVICE_UNKNOWN, detail=f"no call {method} {path}"))

    def accepted_response(self) -> ControlResponse:
        """Return the response to a call that succeeded."""
        return _json_response(200, b"{}")

    def document_response(self, source: bytes) -> ControlResponse:
        """Return the response that contains the configuration in force."""
        return _json_response(200, source)

    def error_response(self, failure: Failure) -> ControlResponse:
        """Return the response to a call that failed."""
        status = int(failure.code.http_status)
        if failure.code in (Code.EDIT_UNKNOWN, Code.DISK_FAILED):
            status = 503  # makes the operator retry at another replica; a repeated command is safe
        return _json_response(status, msgspec.json.encode({"error": str(failure)}))


def served_versions(
    models: tuple[LoadedModel, ...], layers: tuple[LoadedLayers, ...] | LoadedLayers | None
) -> tuple[ServedVersion, ...]:
    """Combine the models and layers of a report into the versions that an engine serves.

    Where ``layers`` is None, every model counts as complete.
    """
    ranges = layers if isinstance(layers, tuple) else (layers,)
    served = []
    for model in models:
        matching = [each for each in ranges if each is not None and each.version == model.version]
        if not matching and layers is None:
            matching = [LoadedLayers(first=0, target=ALL_LAYERS_END, version=model.version)]
        served += [
            ServedVersion(
                model=model.name,
                version=model.version,
                first_layer=each.first,
                end_layer=each.target,
            )
            for each in matching
            if each.target > each.first
        ]
    return tuple(served)


def _read_table(body: bytes) -> Result[ControlRequest, Failure]:
    table = read_configuration(body)
    if table.is_err():
        return Err(table.unwrap_err())
    invalid = check_table(table.unwrap())
    if invalid is not None:
        return Err(invalid)
    return Ok(PutRouteTable(table=table.unwrap(), source=body))


def _read_version(body: bytes) -> Result[ControlRequest, Failure]:
    try:
        document = _versions.decode(body)
    except msgspec.MsgspecError as error:
        return Err(Failure(code=Code.VERSION_MALFORMED, detail=str(error)))
    return Ok(NameWeightsVersion(model=document.model, number=document.version))


def _read_evacuation(name: str, method: str) -> Result[ControlRequest, Failure]:
    try:
        domain = unquote(name, errors="strict")
    except UnicodeDecodeError:
        domain = ""
    if not domain or STRAY_PERCENT.search(name) or not domain.isprintable():
        detail = f"failure domain: {name!r} is not a percent-encoded name"
        return Err(Failure(code=Code.REQUEST_MALFORMED, detail=detail))
    return Ok(SetDomainEvacuation(domain=domain, evacuated=method == "POST"))


def _read_deregistration(instance: str, body: bytes) -> Result[ControlRequest, Failure]:
    try:
        document = _deregistrations.decode(body) if body.strip() else DeregistrationDocument()
    except msgspec.MsgspecError as error:
        return Err(Failure(code=Code.REQUEST_MALFORMED, detail=str(error)))
    return Ok(Deregister(instance=instance, born_ms=document.born))


def _read_heartbeat(instance: str, body: bytes, now_s: float) -> Result[ControlRequest, Failure]:
    try:
        heartbeat = _heartbeats.decode(body)
    except msgspec.MsgspecError as error:
        return Err(Failure(code=Code.REQUEST_MALFORMED, detail=str(error)))
    state = INSTANCE_STATES.get(heartbeat.state)
    if state is None:
        detail = f"unknown state {heartbeat.state!r}"
        return Err(Failure(code=Code.REQUEST_MALFORMED, detail=detail))
    return Ok(
        Announce(
            instance=Instance(
                instance=instance,
                service=heartbeat.service,
                address=heartbeat.address,
                failure_domain=heartbeat.zone,
                sequence=heartbeat.sequence,
                state=state,
                slots=heartbeat.slots,
                served=served_versions(heartbeat.models, heartbeat.layers),
                heard_s=now_s,
                cold_until_s=now_s + _cold_ms(heartbeat.cold_remaining_ms) / 1000,
                born_ms=heartbeat.born,
            )
        )
    )


def _cold_ms(remaining_ms: float) -> float:
    """Return the remaining cold time within what a wire record can hold."""
    return min(max(0.0, remaining_ms), MAX_COLD_MS)


def _json_response(status: int, body: bytes) -> ControlResponse:
    headers = Headers(items=[(b"Content-Type", b"application/json")])
    return ControlResponse(status=status, headers=headers, body=body)


__all__ = ["PlatformControl", "served_versions"]
