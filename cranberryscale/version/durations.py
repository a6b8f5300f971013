"""Parsing of durations with a unit, for example "1500ms"."""

import datetime
import re


__all__ = ['format_duration', 'parse_duration']

_DURATION = re.compile(r'([0-9]+(?:\.[0-9]+)?)(ms|s)')
_UNITS = {'ms': 'milliseconds', 's': 'seconds'}
# A sum of longer durations and a time could overflow.
_LONGEST = datetime.timedelta(days=366)


def parse_duration(text: object) -> datetime.timedelta:
    """Parse a number followed by "ms" or "s", of at most a year.

    Raises ValueError.
    """
    match = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f'{text!r} is not a duration such as "1500ms"')
    try:
        duration = datetime.timedelta(**{_UNITS[match[2]]: float(match[1])})
    except OverflowError:
        duration = datetime.timedelta.max
    if duration > _LONGEST:
        raise ValueError(f'{text[:40]!r} is longer than a year')
    return duration


def format_duration(duration: datetime.timedelta) -> str:
    """Return a duration in seconds with its unit, for example "1.5s"."""
    return f'{duration.total_seconds():.12g}s'
