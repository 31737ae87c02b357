"""Structured logs: JSON lines, or coloured for a terminal."""

import logging
import sys

import structlog

from heathford.log_stream import LOG_STREAM


def set_up(as_json: bool, level: str) -> None:
    shown = structlog.processors.JSONRenderer() if as_json else structlog.dev.ConsoleRenderer()
    shared: list[structlog.typing.Processor] = [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    if as_json:
        shared.append(structlog.processors.dict_tracebacks)
    structlog.configure(
        processors=[*shared, shown],
        logger_factory=structlog.WriteLoggerFactory(LOG_STREAM),  # type: ignore[arg-type]
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelNamesMapping()[level.upper()]),
        cache_logger_on_first_use=True,
    )
    logging.basicConfig(level=logging.CRITICAL, stream=sys.stderr)  # tornado's own: what matters we log
