"""Export of the table as CSV, and import."""

from __future__ import annotations

import csv
import io

import msgspec
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.state.records import Limits, ModelChoice, Policy, Row, ServiceRule
from leadhollow.state.row_rules import check_row

COLUMNS = (
    "group",
    "weight",
    "concurrency",
    "tokens_per_s",
    "queue",
    "models",
    "services",
    "key_sha256s",
)
REPEATABLE = "repeatable"
SINGLE = "single"
LIST_SEPARATOR = ";"


def write_sheet(rows: list[Row]) -> str:
    """Return rows as CSV, one line for each."""
    target = io.StringIO()
    writer = csv.writer(target, lineterminator="\n")
    writer.writerow(COLUMNS)
    for row in rows:
        models = [
            f"{model}={choice.version}:{choice.minimum_replicas}:{choice.policy.value}"
            for model, choice in row.models.items()
        ]
        services = [
            f"{service}={REPEATABLE if rule.repeatable else SINGLE}"
            for service, rule in row.services.items()
        ]
        writer.writerow(
            [
                row.group,
                repr(row.weight),
                row.limits.concurrency,
                row.limits.tokens_per_s,
                row.limits.queue,
                LIST_SEPARATOR.join(models),
                LIST_SEPARATOR.join(services),
                LIST_SEPARATOR.join(row.key_sha256s),
            ]
        )
    return target.getvalue()


def read_sheet(text: str) -> Result[list[Row], list[Failure]]:
    """Parse a CSV sheet.

    Returns
    -------
    Result
        All rows, or one failure for each invalid line, with its number and column.
    """
    reader = csv.reader(io.StringIO(text), strict=True)
    try:
        lines = list(reader)
    except csv.Error as error:
        return Err([_invalid(reader.line_num, "", str(error))])
    if not lines or tuple(lines[0]) != COLUMNS:
        return Err([_invalid(1, "", f"expected the columns {','.join(COLUMNS)}")])
    rows: list[Row] = []
    failures: list[Failure] = []
    seen: set[str] = set()
    for number, cells in enumerate(lines[1:], start=2):
        if not cells:
            continue
        read = _read_line(number, cells)
        if read.is_err():
            failures.append(read.unwrap_err())
            continue
        row = read.unwrap()
        if row.group in seen:
            failures.append(_invalid(number, "group", f"{row.group} stands twice"))
        seen.add(row.group)
        rows.append(row)
    return Err(failures) if failures else Ok(rows)


def _read_line(number: int, cells: list[str]) -> Result[Row, Failure]:
    if len(cells) != len(COLUMNS):
        return Err(_invalid(number, "", f"expected {len(COLUMNS)} cells, found {len(cells)}"))
    values = dict(zip(COLUMNS, (cell.strip() for cell in cells), strict=True))
    column = ""
    try:
        numbers: dict[str, int] = {}
        for column in ("concurrency", "tokens_per_s", "queue"):
            numbers[column] = int(values[column])
        column = "weight"
        weight = float(values[column])
        column = "models"
        models = dict(_read_model(text) for text in _split_list(values[column]))
        column = "services"
        services = dict(_read_service(text) for text in _split_list(values[column]))
    except ValueError as error:
        return Err(_invalid(number, column, str(error)))
    row = Row(
        group=values["group"],
        weight=weight,
        limits=Limits(**numbers),
        models=models,
        services=services,
        key_sha256s=tuple(_split_list(values["key_sha256s"])),
    )
    failure = check_row(row)
    return Ok(row) if failure is None else Err(_invalid(number, failure.field, failure.detail))


def _read_model(text: str) -> tuple[str, ModelChoice]:
    model, separator, rest = text.partition("=")
    parts = rest.split(":")
    if not separator or not 1 <= len(parts) <= 3:
        message = f"expected MODEL=VERSION:REPLICAS:POLICY, found {text!r}"
        raise ValueError(message)
    minimum_replicas = int(parts[1]) if len(parts) > 1 else 1
    policy = Policy(parts[2]) if len(parts) > 2 else Policy.FEWEST_ORIGIN_BYTES
    choice = ModelChoice(version=parts[0], minimum_replicas=minimum_replicas, policy=policy)
    return model, choice


def _read_service(text: str) -> tuple[str, ServiceRule]:
    service, _, rule = text.partition("=")
    if rule not in (REPEATABLE, SINGLE):
        message = f"expected SERVICE={SINGLE} or SERVICE={REPEATABLE}, found {text!r}"
        raise ValueError(message)
    return service, ServiceRule(repeatable=rule == REPEATABLE)


def _split_list(cell: str) -> list[str]:
    return [part.strip() for part in cell.split(LIST_SEPARATOR) if part.strip()]


def _invalid(number: int, column: str, detail: str) -> Failure:
    field = f"line {number}" + (f", {column}" if column else "")
    return Failure(code=Code.SHEET_INVALID, detail=detail, field=field)


def decode_row(text: bytes) -> Result[Row, Failure]:
    """Decode and validate one row in JSON."""
    try:
        row = msgspec.json.decode(text, type=Row)
    except msgspec.MsgspecError as error:
        return Err(Failure(code=Code.ROW_INVALID, detail=str(error)))
    failure = check_row(row)
    return Ok(row) if failure is None else Err(failure)


__all__ = ["COLUMNS", "decode_row", "read_sheet", "write_sheet"]
