"""What the platform stand-in publishes, and its faults."""

import threading
import time
from typing import Any
from typing import Mapping
from typing import NamedTuple


__all__ = ['ConsulFaults', 'ConsulSnapshot', 'ConsulStore']


class ConsulFaults(NamedTuple):
    """Switch faults of the service.

    `down` answers 500, `hang` not at all, `is_stale` serves the state of
    the time when it was set, `slow_s` delays answers, `malformed` damages
    bodies ("json", "index" or "base64"), `hidden` leaves out keys that end
    with one of these texts, `list_lag_s` delays the instance list.
    """

    down: bool = False
    hang: bool = False
    is_stale: bool = False
    slow_s: float = 0.0
    malformed: str = ''
    hidden: tuple[str, ...] = ()
    list_lag_s: float = 0.0


class ConsulSnapshot(NamedTuple):
    """Hold what was published, and the index of the last change of each."""

    index: int = 1
    values: Mapping[str, tuple[int, str]] = {}
    values_index: int = 1
    instances: tuple[Mapping[str, Any], ...] = ()
    instances_index: int = 1


class ConsulStore:
    """Hold values, instances and faults; thread-safe."""

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
        """Return how many calls were made, answered or not."""
        return self._calls

    @property
    def faults(self) -> ConsulFaults:
        """Return the faults in force."""
        return self._faults

    def put_values(self, values: Mapping[str, str]) -> None:
        """Set several keys in one change."""
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
        """Remove the keys that start with a prefix in one change."""
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
        """Replace the instance list by service entries of the protocol."""
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
        """Switch faults on or off."""
        with self._changed:
            if faults.is_stale and not self._faults.is_stale:
                self._stale_state = self._state
            self._faults = faults
            self._changed.notify_all()

    def stop(self) -> None:
        """Release all waiting queries."""
        with self._changed:
            self._stopped = True
            self._changed.notify_all()

    def wait_for_values(self, index: int, wait_s: float) -> ConsulSnapshot:
        """Return the state once its values changed after `index`."""
        return self._wait(index, wait_s, 'values_index')

    def wait_for_instances(self, index: int, wait_s: float) -> ConsulSnapshot:
        """Return the state once the list changed after `index`."""
        return self._wait(index, wait_s, 'instances_index')

    def _wait(self, index: int, wait_s: float, field: str) -> ConsulSnapshot:
        with self._changed:
            self._calls += 1
            until = time.monotonic() + wait_s
            while True:
                state = self._read_state(field)
                left_s = until - time.monotonic()
                # A blocking query also ends when the index went backwards.
                done = getattr(state, field) != index or index < 1
                if done or self._stopped or left_s <= 0:
                    return state
                lagging = field == 'instances_index'
                self._changed.wait(min(left_s, 0.05) if lagging else left_s)

    def _read_state(self, field: str) -> ConsulSnapshot:
        state = self._stale_state if self._faults.is_stale else self._state
        lag_s = self._faults.list_lag_s
        if field == 'values_index' or lag_s <= 0 or self._faults.is_stale:
            return state
        until = time.monotonic() - lag_s
        visible = [old for at, old in self._instance_history if at <= until]
        return visible[-1] if visible else ConsulSnapshot()
