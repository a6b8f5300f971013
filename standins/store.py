"""The published state of the platform stand-in, and its faults."""

import threading
import time
from typing import Any
from typing import Mapping
from typing import NamedTuple


__all__ = ['ConsulFaults', 'ConsulSnapshot', 'ConsulStore']


class ConsulFaults(NamedTuple):
    """Faults injected into the service.

    With `down` it responds with status 500, with `hang` not at all, with
    `is_stale` from the state at the time when the fault was set. `slow_s`
    delays responses, `malformed` corrupts them ("json", "index" or "base64"),
    `hidden` omits keys that end with one of these strings, and `list_lag_s`
    delays changes of the instance list.
    """

    down: bool = False
    hang: bool = False
    is_stale: bool = False
    slow_s: float = 0.0
    malformed: str = ''
    hidden: tuple[str, ...] = ()
    list_lag_s: float = 0.0


class ConsulSnapshot(NamedTuple):
    """The published values and instances at one index.

    `values` maps keys to the index of their last change and the value. The
    other indexes are those of the last change of any value and of the
    instance list.
    """

    index: int = 1
    values: Mapping[str, tuple[int, str]] = {}
    values_index: int = 1
    instances: tuple[Mapping[str, Any], ...] = ()
    instances_index: int = 1


class ConsulStore:
    """Published values and instances with faults; thread-safe."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._state = ConsulSnapshot()
        self._stale_state = ConsulSnapshot()
        self._instance_history: list[tuple[float, ConsulSnapshot]] = []
        self._faults = ConsulFaults()
        self._calls = 0
        self._stopped = False

    @property
    def calls(self) -> int:
        """Return the number of calls, with or without a response."""
        return self._calls

    @property
    def faults(self) -> ConsulFaults:
        """Return the faults in effect."""
        return self._faults

    def put_values(self, values: Mapping[str, str]) -> None:
        """Set the values of several keys in one change."""
        with self._changed:
            index = self._state.index + 1
            new = {key: (index, value) for key, value in values.items()}
            self._state = self._state._replace(
                index=index,
                values={**self._state.values, **new},
                values_index=index,
            )
            self._changed.notify_all()

    def remove_values(self, prefix: str) -> None:
        """Remove all keys that start with a prefix, in one change."""
        with self._changed:
            index = self._state.index + 1
            kept = {
                key: value
                for key, value in self._state.values.items()
                if not key.startswith(prefix)
            }
            self._state = self._state._replace(
                index=index, values=kept, values_index=index
            )
            self._changed.notify_all()

    def put_instances(self, instances: list[Mapping[str, Any]]) -> None:
        """Replace the instance list; its items are Consul service entries."""
        with self._changed:
            index = self._state.index + 1
            self._state = self._state._replace(
                index=index,
                instances=tuple(instances),
                instances_index=index,
            )
            self._instance_history.append((time.monotonic(), self._state))
            self._changed.notify_all()

    def set_faults(self, faults: ConsulFaults) -> None:
        """Replace the faults in effect."""
        with self._changed:
            if faults.is_stale and not self._faults.is_stale:
                self._stale_state = self._state
            self._faults = faults
            self._changed.notify_all()

    def stop(self) -> None:
        """End all blocking queries."""
        with self._changed:
            self._stopped = True
            self._changed.notify_all()

    def wait_for_values(self, index: int, wait_s: float) -> ConsulSnapshot:
        """Return the state once a value changed after `index`.

        Returns the unchanged state after `wait_s` seconds.
        """
        return self._wait(index, wait_s, 'values_index')

    def wait_for_instances(self, index: int, wait_s: float) -> ConsulSnapshot:
        """Return the state once the instance list changed after `index`.

        Returns the unchanged state after `wait_s` seconds.
        """
        return self._wait(index, wait_s, 'instances_index')

    def _wait(self, index: int, wait_s: float, field: str) -> ConsulSnapshot:
        with self._changed:
            self._calls += 1
            deadline_s = time.monotonic() + wait_s
            while True:
                state = self._read_state(field)
                left_s = deadline_s - time.monotonic()
                # A blocking query also ends when the index decreased.
                done = getattr(state, field) != index or index < 1
                if done or self._stopped or left_s <= 0:
                    return state
                may_lag = field == 'instances_index'
                self._changed.wait(min(left_s, 0.05) if may_lag else left_s)

    def _read_state(self, field: str) -> ConsulSnapshot:
        state = self._stale_state if self._faults.is_stale else self._state
        lag_s = self._faults.list_lag_s
        if field == 'values_index' or lag_s <= 0 or self._faults.is_stale:
            return state
        visible_until_s = time.monotonic() - lag_s
        visible = [
            old for at, old in self._instance_history if at <= visible_until_s
        ]
        return visible[-1] if visible else ConsulSnapshot()
