"""Deterministic state machine to which replicas apply the committed commands of the log."""

from __future__ import annotations

import hashlib
from typing import TypeVar

import msgspec

from leadhollow.codes import Code, Outcome
from leadhollow.state.catalog import Catalog
from leadhollow.state.commands import (
    Answer,
    AnyAnswer,
    Claim,
    ClaimAnswer,
    Command,
    DescribeVersion,
    EditRows,
    ExpireClaims,
    FinishClaim,
    NameVersion,
    PublishVersion,
    ReplaceRouteTable,
    RowEdit,
    SetDrain,
    SetEvacuation,
    TakeLease,
    encode,
)
from leadhollow.state.evacuations import set_evacuation
from leadhollow.state.records import (
    CatalogItem,
    CatalogValue,
    DrainRecord,
    HistoryEntry,
    LeaseRecord,
    Row,
    StoredRow,
    VersionRecord,
    drain_key,
    lease_key,
    row_key,
    version_key,
)
from leadhollow.state.route_tables import RouteTables
from leadhollow.state.row_rules import check_row
from leadhollow.state.weights_versions import describe_version, name_version

MAX_OPERATIONS = 10_000
MAX_HISTORY = 10_000
MAX_CLAIMS = 200_000

Kept = TypeVar("Kept")


class _Operation(msgspec.Struct, frozen=True, kw_only=True):
    digest: str
    answer: Answer


class ClaimRecord(msgspec.Struct, kw_only=True):
    """A claimed idempotency key, with the result of its request once it is finished."""

    index: int
    digest: str
    request_id: str
    entry: str
    finished: FinishClaim | None = None


class _SnapshotBody(msgspec.Struct, frozen=True, kw_only=True):
    revision: int
    items: list[CatalogItem]
    operations: dict[str, _Operation]
    history: list[HistoryEntry]
    claims: dict[str, ClaimRecord]
    route_table_source: bytes = b""
    floor: int = 0  # absent from snapshots of releases that kept all removed items


class StateMachine:
    """Table, versions, leases, drains and claims; changed only by commands in log order."""

    __slots__ = ("_claims", "_history", "_operations", "catalog", "route_tables")

    def __init__(self) -> None:
        self.catalog = Catalog()
        self.route_tables = RouteTables()
        self._operations: dict[str, _Operation] = {}
        self._history: list[HistoryEntry] = []
        self._claims: dict[str, ClaimRecord] = {}

    def apply(self, index: int, command: Command) -> AnyAnswer:
        """Apply one command.

        Parameters
        ----------
        index
            Log index of the command; it becomes the revision of what changes.
        command
            The decoded command.
        """
        items: list[CatalogItem] = []
        answer: AnyAnswer = Answer()
        match command:
            case EditRows() | PublishVersion() | SetDrain():
                answer = self._apply_operation(index, command, items)
            case TakeLease():
                answer = self._take_lease(index, command, items)
            case Claim():
                answer = self._claim(index, command)
            case FinishClaim():
                self._finish_claim(command)
            case ExpireClaims():
                self._expire_claims(command.through_index)
            case ReplaceRouteTable():
                items = self.route_tables.replace(command, self.catalog, revision=index)
            case NameVersion():
                items = name_version(command, self.catalog, revision=index)
            case SetEvacuation():
                answer, items = set_evacuation(command, self.catalog, revision=index)
            case DescribeVersion():
                items = describe_version(command, self.catalog, revision=index)
            case _:
                pass
        self.catalog.apply(items, revision=index)
        return answer

    def history(self, group: str | None) -> list[HistoryEntry]:
        """Return the accepted changes of one group, or of all for None, oldest first."""
        return [entry for entry in self._history if group is None or entry.group == group]

    def operation(self, operation_id: str) -> Answer | None:
        """Return the answer to the first command with an operation id, if it is still kept."""
        found = self._operations.get(operation_id)
        return None if found is None else found.answer

    def claim_count(self) -> int:
        """Return the number of claims."""
        return len(self._claims)

    def last_claim_index(self) -> int:
        """Return the log index of the newest claim, 0 if there is none."""
        if not self._claims:
            return 0
        return next(reversed(self._claims.values())).index

    def snapshot(self) -> bytes:
        """Encode the complete state."""
        body = _SnapshotBody(
            revision=self.catalog.revision,
            items=self.catalog.items_after(0),
            operations=self._operations,
            history=self._history,
            claims=self._claims,
            route_table_source=self.route_tables.source,
            floor=self.catalog.floor,
        )
        return msgspec.msgpack.encode(body)

    def restore(self, data: bytes) -> None:
        """Replace the complete state by that of a snapshot.

        Raises
        ------
        msgspec.MsgspecError
            The bytes are not a snapshot.
        """
        body = msgspec.msgpack.decode(data, type=_SnapshotBody)
        self._operations = body.operations
        self._history = body.history
        self._claims = body.claims
        self.route_tables.source = body.route_table_source
        self.catalog.replace(body.items, revision=body.revision, floor=body.floor)

    def _apply_operation(
        self,
        index: int,
        command: EditRows | PublishVersion | SetDrain,
        items: list[CatalogItem],
    ) -> Answer:
        digest = hashlib.sha256(encode(command)).hexdigest()
        earlier = self._operations.get(command.operation_id)
        if earlier is not None:
            if earlier.digest == digest:
                return earlier.answer
            return Answer(code=Code.OPERATION_REUSED, detail=Code.OPERATION_REUSED.meaning)
        match command:
            case EditRows():
                answer = self._edit_rows(index, command, items)
            case PublishVersion():
                answer = self._publish(index, command, items)
            case SetDrain():
                answer = self._set_drain(index, command, items)
        self._operations[command.operation_id] = _Operation(digest=digest, answer=answer)
        _evict_oldest(self._operations, MAX_OPERATIONS)
        return answer

    def _edit_rows(self, index: int, command: EditRows, items: list[CatalogItem]) -> Answer:
        conflicts = []
        for edit in command.edits:
            refusal = self._check_edit(edit)
            if refusal is not None:
                return refusal
            existing = self.catalog.item(row_key(edit.group))
            current_revision = (
                0 if existing is None or existing.value is None else existing.revision
            )
            if current_revision != edit.expected_revision:
                absent = CatalogItem(key=row_key(edit.group), revision=0, value=None)
                conflicts.append(existing or absent)
        if conflicts:
            return Answer(
                code=Code.REVISION_CONFLICT,
                detail=", ".join(item.key.removeprefix("row/") for item in conflicts),
                current=tuple(conflicts),
            )
        for edit in command.edits:
            self._put_row(index, command, edit, items)
        return Answer(revision=index)

    def _check_edit(self, edit: RowEdit) -> Answer | None:
        if edit.row is None:
            return None
        failure = check_row(edit.row)
        if failure is not None:
            return Answer(code=failure.code, detail=str(failure))
        if edit.row.group != edit.group:
            return Answer(code=Code.ROW_INVALID, detail=f"{edit.group}.group: names another group")
        for model, choice in edit.row.models.items():
            if self.catalog.version(model, choice.version) is None:
                detail = f"{edit.group}.models.{model}.version: {choice.version} is not published"
                return Answer(code=Code.VERSION_UNKNOWN, detail=detail)
        for stored in self.catalog.rows():
            if stored.row.group == edit.group:
                continue
            if set(stored.row.key_sha256s) & set(edit.row.key_sha256s):
                detail = f"{edit.group}.key_sha256s: a key belongs to another group"
                return Answer(code=Code.ROW_INVALID, detail=detail)
        return None

    def _put_row(
        self, index: int, command: EditRows, edit: RowEdit, items: list[CatalogItem]
    ) -> None:
        before = self.catalog.row(edit.group)
        value: CatalogValue | None = None
        if edit.row is not None:
            value = StoredRow(row=edit.row, previous_versions=_previous_versions(before, edit.row))
        items.append(CatalogItem(key=row_key(edit.group), revision=index, value=value))
        self._history.append(
            HistoryEntry(
                revision=index,
                operation_id=command.operation_id,
                operator=command.operator,
                group=edit.group,
                before=None if before is None else before.row,
                after=edit.row,
            )
        )
        del self._history[:-MAX_HISTORY]

    def _publish(self, index: int, command: PublishVersion, items: list[CatalogItem]) -> Answer:
        existing = self.catalog.version(command.model, command.version)
        if existing is not None:
            if existing.root != command.root:
                return Answer(
                    code=Code.VERSION_IMMUTABLE,
                    detail=f"{command.model} {command.version} has root {existing.root}",
                )
            item = self.catalog.item(version_key(command.model, command.version))
            return Answer(revision=0 if item is None else item.revision)
        record = VersionRecord(
            model=command.model,
            version=command.version,
            root=command.root,
            size_bytes=command.size_bytes,
            origin_url=command.origin_url,
        )
        key = version_key(command.model, command.version)
        items.append(CatalogItem(key=key, revision=index, value=record))
        return Answer(revision=index)

    def _set_drain(self, index: int, command: SetDrain, items: list[CatalogItem]) -> Answer:
        value = (
            DrainRecord(server=command.server, operator=command.operator)
            if command.draining
            else None
        )
        items.append(CatalogItem(key=drain_key(command.server), revision=index, value=value))
        return Answer(revision=index)

    def _take_lease(self, index: int, command: TakeLease, items: list[CatalogItem]) -> Answer:
        existing = self.catalog.lease(command.name)
        fence = 0 if existing is None else existing.fence
        if fence != command.replaced_fence:
            return Answer(code=Code.LEASE_HELD, detail="taken by another VM meanwhile")
        record = LeaseRecord(
            name=command.name, holder=command.holder, fence=index, ttl_ms=command.ttl_ms
        )
        items.append(CatalogItem(key=lease_key(command.name), revision=index, value=record))
        return Answer(revision=index)

    def _claim(self, index: int, command: Claim) -> ClaimAnswer:
        name = _claim_name(command.group, command.key)
        existing = self._claims.get(name)
        if existing is None:
            self._claims[name] = ClaimRecord(
                index=index,
                digest=command.digest,
                request_id=command.request_id,
                entry=command.entry,
            )
            _evict_oldest(self._claims, MAX_CLAIMS)
            return ClaimAnswer(fresh=True, request_id=command.request_id)
        if existing.digest != command.digest:
            return ClaimAnswer(fresh=False, code=Code.IDEMPOTENCY_KEY_REUSED)
        if existing.request_id == command.request_id and existing.finished is None:
            return ClaimAnswer(fresh=True, request_id=command.request_id)
        if existing.finished is None:
            code = Code.IDEMPOTENCY_RUNNING
            return ClaimAnswer(fresh=False, code=code, request_id=existing.request_id)
        return ClaimAnswer(fresh=False, request_id=existing.request_id, finished=existing.finished)

    def _finish_claim(self, command: FinishClaim) -> None:
        name = _claim_name(command.group, command.key)
        existing = self._claims.get(name)
        if existing is None or existing.request_id != command.request_id:
            return
        if command.outcome == Outcome.NOT_EXECUTED:
            del self._claims[name]  # not executed, so a resend may use the key
            return
        existing.finished = command

    def _expire_claims(self, through_index: int) -> None:
        expired = [name for name, claim in self._claims.items() if claim.index <= through_index]
        for name in expired:
            del self._claims[name]


def _claim_name(group: str, key: str) -> str:
    return f"{group}\n{key}"


def _previous_versions(before: StoredRow | None, row: Row) -> dict[str, str]:
    """Return the previous version of each model whose new version may still be rolling out."""
    if before is None:
        return {}
    previous = {}
    new_models = row.models
    for model, choice in before.row.models.items():
        if model not in new_models:
            continue
        if new_models[model].version != choice.version:
            previous[model] = choice.version
        elif model in before.previous_versions:
            previous[model] = before.previous_versions[model]
    return previous


def _evict_oldest(records: dict[str, Kept], max_records: int) -> None:
    while len(records) > max_records:
        del records[next(iter(records))]


__all__ = ["ClaimRecord", "StateMachine"]
