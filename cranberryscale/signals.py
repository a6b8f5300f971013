"""Handling of signals in a thread of its own.

Python runs the handlers of the signal module in the main thread, at its next
instruction. If the kernel delivers a signal to another thread, as it does when
another signal has just arrived, a main thread that waits for a lock does not
notice it. The number of each signal is also written to a pipe, by whichever
thread receives it, and a thread that reads the pipe always does.
"""

from collections.abc import Callable
from collections.abc import Mapping
import os
import signal
import threading


__all__ = ['handle_signals']


def _ignore(*_) -> None:
    """Do nothing: the reader of the pipe handles the signal."""


def handle_signals(
    handlers: Mapping[signal.Signals, Callable[[], None]],
) -> None:
    """Call the handler of each signal that arrives from now on.

    Must be called from the main thread, once. Handlers run one after the
    other in a daemon thread and must not block for long.
    """
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
    threading.Thread(
        target=_read_signals, args=(reader, handlers), daemon=True
    ).start()
    for number in handlers:
        signal.signal(number, _ignore)


def _read_signals(
    reader: int, handlers: Mapping[signal.Signals, Callable[[], None]]
) -> None:
    while True:
        for number in os.read(reader, 64):
            handler = handlers.get(number)
            if handler is not None:
                handler()
