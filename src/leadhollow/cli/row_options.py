"""Command-line options that change the fields of a table row."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from cleo.helpers import option
from cleo.io.inputs.option import Option
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.state.records import ModelChoice, Policy, Row, ServiceRule

LIMIT_OPTIONS = {"concurrency": "concurrency", "tokens-per-s": "tokens_per_s", "queue": "queue"}


def row_options() -> list[Option]:
    """Return the options for the fields of a row."""
    return [
        option("weight", None, "Weight of the group.", flag=False),
        option("concurrency", None, "Most requests that run at once.", flag=False),
        option("tokens-per-s", None, "Most tokens a second.", flag=False),
        option("queue", None, "Most requests that wait at one entry.", flag=False),
        option(
            "model",
            None,
            "MODEL=VERSION or MODEL=VERSION:REPLICAS:POLICY; MODEL= takes it away.",
            flag=False,
            multiple=True,
        ),
        option(
            "service",
            None,
            "SERVICE=single or SERVICE=repeatable; SERVICE= takes it away.",
            flag=False,
            multiple=True,
        ),
        option("key-sha256", None, "Hash of an API key.", flag=False, multiple=True),
    ]


def row_with_options(row: Row, value_of: Callable[[str], Any]) -> Result[Row, Failure]:
    """Return the row with the given options applied.

    Parameters
    ----------
    row
        The current row.
    value_of
        Returns the value of an option by its name.

    Errors
    ------
    COMMAND_USAGE
        The value of an option is malformed.
    """
    try:
        if value_of("weight") is not None:
            row = msgspec.structs.replace(row, weight=float(value_of("weight")))
        for name, field in LIMIT_OPTIONS.items():
            if value_of(name) is not None:
                limits = msgspec.structs.replace(row.limits, **{field: int(value_of(name))})
                row = msgspec.structs.replace(row, limits=limits)
        models = dict(row.models)
        for text in value_of("model") or ():
            _apply_model(models, text)
        services = dict(row.services)
        for text in value_of("service") or ():
            _apply_service(services, text)
    except ValueError as error:
        return Err(Failure(code=Code.COMMAND_USAGE, detail=str(error)))
    keys = tuple(value_of("key-sha256") or ()) or row.key_sha256s
    return Ok(msgspec.structs.replace(row, models=models, services=services, key_sha256s=keys))


def _apply_model(models: dict[str, ModelChoice], text: str) -> None:
    model, separator, rest = text.partition("=")
    if not separator:
        message = f"expected MODEL=VERSION, found {text!r}"
        raise ValueError(message)
    if not rest:
        models.pop(model, None)
        return
    version, *choice_parts = rest.split(":")
    choice = msgspec.structs.replace(
        models.get(model, ModelChoice(version=version)), version=version
    )
    if choice_parts:
        choice = msgspec.structs.replace(choice, minimum_replicas=int(choice_parts[0]))
    if len(choice_parts) > 1:
        choice = msgspec.structs.replace(choice, policy=Policy(choice_parts[1]))
    models[model] = choice


def _apply_service(services: dict[str, ServiceRule], text: str) -> None:
    service, _, rule = text.partition("=")
    if not rule:
        services.pop(service, None)
    elif rule in ("single", "repeatable"):
        services[service] = ServiceRule(repeatable=rule == "repeatable")
    else:
        message = f"expected SERVICE=single or SERVICE=repeatable, found {text!r}"
        raise ValueError(message)


__all__ = ["row_options", "row_with_options"]
