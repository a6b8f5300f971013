"""Log lines: one event a line, as key=value pairs."""

from collections.abc import Callable
import datetime
import json
import logging as std_logging
from logging import handlers as std_handlers
import queue
import re
import threading
from typing import TextIO

from absl import logging


__all__ = ['flush', 'format_event', 'log_event', 'set_up']

# Two seconds of the busiest instance's lines.
QUEUE_LINES = 2000
# How long the end of the process waits for a reader of the log. A draining
# instance has half a second left by then.
FLUSH_LIMIT = datetime.timedelta(milliseconds=200)

# Functions that end the writer threads.
_stops: list[Callable[[], None]] = []

_PLAIN = re.compile(r'[!#-<>-\[\]-~]+')


def _format_value(value: object) -> str:
    text = str(value)
    # JSON quoting keeps line breaks and quotes of a caller inside one field.
    return text if _PLAIN.fullmatch(text) else json.dumps(text)


def format_event(event: str, **fields: object) -> str:
    """Return the line of an event, fields in the order given.

    Never pass a caller's key or a value that may contain one.
    """
    pairs = (f'{k}={_format_value(v)}' for k, v in fields.items())
    return ' '.join((f'event={_format_value(event)}', *pairs))


def log_event(event: str, level: int = logging.INFO, **fields: object) -> None:
    """Write the line of an event if the level is logged."""
    if logging.level_info() or level < logging.INFO:
        logging.log(level, '%s', format_event(event, **fields))


class _EventFormatter(std_logging.Formatter):
    """Put time and level before an event; make an event of other lines."""

    default_time_format = '%Y-%m-%dT%H:%M:%S'
    default_msec_format = '%s.%03d'

    def format(self, record: std_logging.LogRecord) -> str:
        """Return the line of a record."""
        text = record.getMessage()
        if not text.startswith('event='):
            text = format_event('library', logger=record.name, message=text)
        level = record.levelname.lower()
        return f'at={self.formatTime(record)} level={level} {text}'


class _BoundedQueue(std_handlers.QueueHandler):
    """Hand records to a writer thread; drop and count what is too much."""

    def __init__(self, records: queue.Queue):
        super().__init__(records)
        self.dropped = 0

    def prepare(self, record: std_logging.LogRecord) -> std_logging.LogRecord:
        # Formatting belongs to the writer thread.
        return record

    def enqueue(self, record: std_logging.LogRecord) -> None:
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1


class _Writer(std_logging.StreamHandler):
    """Write records, and how many were dropped before them."""

    def __init__(self, stream: TextIO, source: _BoundedQueue):
        super().__init__(stream)
        self._source = source
        self._reported = 0

    def emit(self, record: std_logging.LogRecord) -> None:
        dropped = self._source.dropped - self._reported
        if dropped:
            self._reported += dropped
            record.msg = '%s'
            record.args = (f'{record.getMessage()} dropped_before={dropped}',)
        super().emit(record)


class _Listener(std_handlers.QueueListener):
    """Write records in a thread of its own."""

    def enqueue_sentinel(self) -> None:
        """Wait for room, where the base class fails with a full queue."""
        self.queue.put(self._sentinel)


def set_up(stream: TextIO | None = None) -> None:
    """Write events of this process and its libraries.

    Without a stream they go to standard error. With one they are written
    by a thread of their own, so that logging never blocks; at most
    QUEUE_LINES wait, and further ones are counted.
    """
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.get_absl_handler().setFormatter(_EventFormatter())
    if stream is None:
        return
    source = _BoundedQueue(queue.Queue(QUEUE_LINES))
    writer = _Writer(stream, source)
    writer.setFormatter(_EventFormatter())
    listener = _Listener(source.queue, writer)
    root = std_logging.getLogger()
    root.handlers[:] = [source]
    absl_logger = logging.get_absl_logger()
    absl_logger.handlers[:] = [source]
    absl_logger.propagate = False
    listener.start()
    _stops.append(listener.stop)


def flush() -> None:
    """Write what waits, before the process ends.

    Lines that cannot be written within FLUSH_LIMIT are lost.
    """
    while _stops:
        stopping = threading.Thread(target=_stops.pop(), daemon=True)
        stopping.start()
        stopping.join(FLUSH_LIMIT.total_seconds())
