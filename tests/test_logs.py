"""Tests for logging that is bounded and never blocks the process."""

import subprocess
import sys


# Writes more than pipe and queue can hold, to a reader that does not read.
_FLOOD = """
import sys
import time

from cranberryscale import logs

logs.set_up(sys.stdout)
for number in range(3 * logs.QUEUE_LINES):
    logs.log_event('flood', number=number, text='x' * 200)
began = time.monotonic()
logs.flush()
print(f'{time.monotonic() - began:.3f}', file=sys.stderr, flush=True)
"""
_SHORT = """
import sys

from cranberryscale import logs

logs.set_up(sys.stdout)
logs.log_event('last', number=1)
logs.flush()
"""


def start(code: str) -> subprocess.Popen:
    return subprocess.Popen(
        [sys.executable, '-c', code],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def test_a_stopped_log_reader_does_not_delay_the_exit():
    with start(_FLOOD) as process:
        try:
            # The process writes this line when `flush` returns. Reading to
            # the end of the stream would wait for all threads of the process.
            seconds = process.stderr.readline()
        finally:
            process.kill()
    assert float(seconds) < 0.5


def test_the_last_line_is_written_before_the_exit():
    with start(_SHORT) as process:
        written, _ = process.communicate(timeout=20)
    assert 'event=last number=1' in written
