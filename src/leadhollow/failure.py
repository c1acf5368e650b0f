"""Defines the error value of results: a code, a detail and the offending field."""

from __future__ import annotations

from leadhollow.codes import Code, code_of


class Failure:
    """Why an operation failed.

    Parameters
    ----------
    code
        Result code.
    detail
        One readable line; the meaning of the code where empty.
    field
        Path of the offending field, empty where none applies.
    """

    __slots__ = ("code", "detail", "field")

    def __init__(self, *, code: Code, detail: str = "", field: str = "") -> None:
        self.code = code
        self.detail = detail or code.meaning
        self.field = field

    def __str__(self) -> str:
        where = f" {self.field}:" if self.field else ""
        return f"[{int(self.code)}]{where} {self.detail}"

    def __repr__(self) -> str:
        return f"Failure({self})"


def failure_from_number(number: int, detail: str) -> Failure:
    """Build a failure from the number and detail that a peer sent.

    Parameters
    ----------
    number
        Number of the result code; an unknown one becomes ``INTERNAL`` and is kept in the detail.
    detail
        Detail that the peer sent.
    """
    code = code_of(number)
    if code is None:
        return Failure(code=Code.INTERNAL, detail=f"unknown number {number}: {detail}")
    return Failure(code=code, detail=detail)


__all__ = ["Failure", "failure_from_number"]
