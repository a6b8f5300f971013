"""Structured logging: one event per line, as key=value pairs."""

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

# The busiest instance writes this many lines in two seconds.
QUEUE_LINES = 2000
# How long the exit of the process waits for queued lines to be written, since
# the reader of the log may have stopped. A draining instance has half a second
# left at that point.
FLUSH_LIMIT = datetime.timedelta(milliseconds=200)

# Functions that stop the writer threads.
_stop_functions: list[Callable[[], None]] = []

_UNQUOTED = re.compile(r'[!#-<>-\[\]-~]+')


def _format_value(value: object) -> str:
    text = '' if value is None else str(value)
    # JSON escapes line breaks and quotes in values sent by callers.
    return text if _UNQUOTED.fullmatch(text) else json.dumps(text)


def format_event(event: str, **fields: object) -> str:
    """Return the line of an event, with fields in the order given.

    None is written as an empty text.

    Never pass an API key or a value that may contain one.
    """
    pairs = (f'{k}={_format_value(v)}' for k, v in fields.items())
    return ' '.join((f'event={_format_value(event)}', *pairs))


def log_event(event: str, level: int = logging.INFO, **fields: object) -> None:
    """Log an event."""
    if logging.level_info() or level < logging.INFO:
        logging.log(level, '%s', format_event(event, **fields))


class _EventFormatter(std_logging.Formatter):
    """A formatter that adds time and level and wraps other lines in events."""

    default_time_format = '%Y-%m-%dT%H:%M:%S'
    default_msec_format = '%s.%03d'

    def format(self, record: std_logging.LogRecord) -> str:
        """Return the line of a record."""
        text = record.getMessage()
        if not text.startswith('event='):
            text = format_event('library', logger=record.name, message=text)
        level = record.levelname.lower()
        return f'at={self.formatTime(record)} level={level} {text}'


class _BoundedQueueHandler(std_handlers.QueueHandler):
    """A handler that queues records for a writer thread.

    Records that do not fit are dropped and counted.
    """

    def __init__(self, records: queue.Queue):
        super().__init__(records)
        self.dropped = 0

    def prepare(self, record: std_logging.LogRecord) -> std_logging.LogRecord:
        # The writer thread formats the record.
        return record

    def enqueue(self, record: std_logging.LogRecord) -> None:
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1


class _WriterHandler(std_logging.StreamHandler):
    """A handler that writes records and the number dropped before them."""

    def __init__(self, stream: TextIO, queue_handler: _BoundedQueueHandler):
        super().__init__(stream)
        self._queue_handler = queue_handler
        self._reported_drops = 0

    def emit(self, record: std_logging.LogRecord) -> None:
        dropped = self._queue_handler.dropped - self._reported_drops
        if dropped:
            self._reported_drops += dropped
            record.msg = '%s'
            record.args = (f'{record.getMessage()} dropped_before={dropped}',)
        super().emit(record)


class _BoundedQueueListener(std_handlers.QueueListener):
    """A listener that stops reliably even if its queue is full."""

    def enqueue_sentinel(self) -> None:
        """Wait for room; the base class raises if the queue is full."""
        self.queue.put(self._sentinel)


def set_up(stream: TextIO | None = None) -> None:
    """Configure logging of this process and its libraries.

    Without a stream, lines go to standard error. Otherwise a thread writes
    them to the stream, so that logging never blocks; at most QUEUE_LINES are
    queued, and further ones are dropped and counted.
    """
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.get_absl_handler().setFormatter(_EventFormatter())
    if stream is None:
        return
    queue_handler = _BoundedQueueHandler(queue.Queue(QUEUE_LINES))
    writer = _WriterHandler(stream, queue_handler)
    writer.setFormatter(_EventFormatter())
    listener = _BoundedQueueListener(queue_handler.queue, writer)
    root = std_logging.getLogger()
    root.handlers[:] = [queue_handler]
    absl_logger = logging.get_absl_logger()
    absl_logger.handlers[:] = [queue_handler]
    absl_logger.propagate = False
    listener.start()
    _stop_functions.append(listener.stop)


def flush() -> None:
    """Write the queued lines before the process exits.

    Lines that cannot be written within FLUSH_LIMIT are lost.
    """
    while _stop_functions:
        stopping = threading.Thread(target=_stop_functions.pop(), daemon=True)
        stopping.start()
        stopping.join(FLUSH_LIMIT.total_seconds())
