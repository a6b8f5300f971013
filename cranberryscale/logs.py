"""Log lines: one event a line, as key=value pairs."""

import json
import logging as std_logging
import re

from absl import logging


__all__ = ['format_event', 'log_event', 'set_up']

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


def set_up() -> None:
    """Write events of this process and its libraries to standard error."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.get_absl_handler().setFormatter(_EventFormatter())
