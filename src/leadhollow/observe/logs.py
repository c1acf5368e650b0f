"""Structured logging on absl: one JSON line per record, or text for a terminal."""

from __future__ import annotations

import atexit
import logging as standard_logging
import sys
import time
from enum import Enum

import msgspec
from absl import flags
from absl import logging as absl_logging

from leadhollow.observe.line_output import LineOutput, LineStream
from leadhollow.observe.sinks import open_sink


class LogFormat(Enum):
    """Format of log records."""

    JSON = "json"
    TEXT = "text"


class _FieldFormatter(standard_logging.Formatter):
    """Formats a record with its fields."""

    def __init__(self, log_format: LogFormat) -> None:
        super().__init__()
        self._json = log_format is LogFormat.JSON

    def format(self, record: standard_logging.LogRecord) -> str:
        """Format a record as one line."""
        fields: dict[str, object] = getattr(record, "fields", {})
        component = getattr(record, "component", record.name)
        if record.exc_info:
            fields = {**fields, "exception": self.formatException(record.exc_info)}
        if self._json:
            line = {
                "time_s": round(record.created, 6),
                "level": record.levelname.lower(),
                "component": component,
                "message": record.getMessage(),
                **fields,
            }
            return msgspec.json.encode(line, enc_hook=str).decode()
        timestamp = time.strftime("%H:%M:%S", time.localtime(record.created))
        pairs = " ".join(f"{name}={value}" for name, value in fields.items())
        return (
            f"{timestamp} {record.levelname[0]} {component}: {record.getMessage()} {pairs}".rstrip()
        )


class Logger:
    """Logs records with fields, under the name of a component."""

    __slots__ = ("_component",)

    def __init__(self, *, component: str) -> None:
        self._component = component

    def debug(self, message: str, **fields: object) -> None:
        """Log a detail."""
        self._log(standard_logging.DEBUG, message, fields)

    def info(self, message: str, **fields: object) -> None:
        """Log a normal event."""
        self._log(standard_logging.INFO, message, fields)

    def warning(self, message: str, **fields: object) -> None:
        """Log an event that an operator may want to look at."""
        self._log(standard_logging.WARNING, message, fields)

    def error(self, message: str, **fields: object) -> None:
        """Log a failure."""
        self._log(standard_logging.ERROR, message, fields)

    def exception(self, message: str, **fields: object) -> None:
        """Log a failure with the exception being handled."""
        self._log(standard_logging.ERROR, message, fields, exc_info=True)

    def _log(
        self, level: int, message: str, fields: dict[str, object], *, exc_info: bool = False
    ) -> None:
        logger = absl_logging.get_absl_logger()
        if logger.isEnabledFor(level):
            extra = {"fields": fields, "component": self._component}
            logger.log(level, message, extra=extra, exc_info=exc_info)


def get_logger(component: str) -> Logger:
    """Return a logger for a component."""
    return Logger(component=component)


def configure_logs(*, log_format: LogFormat, level: str) -> None:
    """Configure logging of a server process: to standard error, without blocking on its reader.

    This replaces ``sys.stderr``, so other output such as an uncaught exception does not block
    either.

    Parameters
    ----------
    log_format
        JSON lines, or text for a terminal.
    level
        ``debug``, ``info``, ``warning`` or ``error``.
    """
    if sys.stderr is not None:
        descriptor = sys.stderr.fileno()
        output = LineOutput(sink=open_sink(descriptor), drop_notice=_dropped_notice)
        atexit.register(output.flush_at_exit)
        sys.stderr = LineStream(output=output, descriptor=descriptor)
    configure_command_logs(log_format=log_format, level=level)


def configure_command_logs(*, log_format: LogFormat, level: str) -> None:
    """Configure logging of a command: to standard error, which is left as it is."""
    flags.FLAGS.mark_as_parsed()  # else absl warns that records precede the parsing of its flags
    handler = absl_logging.get_absl_handler()
    handler.setFormatter(_FieldFormatter(log_format))
    absl_logging.use_absl_handler()
    handler.python_handler.stream = sys.stderr
    absl_logging.set_verbosity(level)
    absl_logging.set_stderrthreshold(level)


def _dropped_notice(count: int) -> bytes:
    """Render the log line that counts dropped lines."""
    logger = absl_logging.get_absl_logger()
    record = logger.makeRecord(
        logger.name,
        standard_logging.WARNING,
        __file__,
        0,
        "log lines dropped",
        (),
        None,
        extra={"component": "logs", "fields": {"count": count}},
    )
    return f"{absl_logging.get_absl_handler().format(record)}\n".encode()


def log_decision(decision: str, **fields: object) -> None:
    """Log a routing or placement decision."""
    _decisions.info(decision, **fields)


_decisions = get_logger("decision")

__all__ = [
    "LogFormat",
    "Logger",
    "configure_command_logs",
    "configure_logs",
    "get_logger",
    "log_decision",
]
