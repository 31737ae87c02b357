"""Set-up of structured logs: JSON lines, or coloured text for a terminal."""

import logging
import sys

import structlog

from heathford.log_stream import LOG_STREAM


def set_up(as_json: bool, level: str) -> None:
    """Configure structlog for the process, and silence standard library logging below critical."""
    renderer = structlog.processors.JSONRenderer() if as_json else structlog.dev.ConsoleRenderer()
    shared_processors: list[structlog.typing.Processor] = [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    if as_json:
        shared_processors.append(structlog.processors.dict_tracebacks)
    structlog.configure(
        processors=[*shared_processors, renderer],
        logger_factory=structlog.WriteLoggerFactory(LOG_STREAM),  # type: ignore[arg-type]
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelNamesMapping()[level.upper()]),
        cache_logger_on_first_use=True,
    )
    # Silences tornado's own log messages; heathford logs the errors that matter.
    logging.basicConfig(level=logging.CRITICAL, stream=sys.stderr)
