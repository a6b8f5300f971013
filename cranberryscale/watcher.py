"""Reads of the platform, and records of what came of them."""

import time
from typing import Any

from absl import logging

from cranberryscale.connection import platform
from cranberryscale import errors
from cranberryscale import logs
from cranberryscale.process import status
from cranberryscale.version import tree


__all__ = ['Watcher']

IDLE_PAUSE_S = 0.1
FAILURE_PAUSE_S = 0.5


class Watcher:
    """Read the configuration service when this instance is to.

    Every instance reads once at its start; later only readers do.
    """

    def __init__(self, instance: Any):
        self._instance = instance
        options = instance.options
        self._client = platform.PlatformClient(
            options.platform.url,
            options.platform.prefix,
            options.platform.instance_service,
            instance.clock,
        )
        self._tree_index = 0
        self._list_index = 0
        self._in_force: dict[str, status.SubtreeStatus] = {}

    @property
    def calls(self) -> int:
        """Return how many calls were made to the platform."""
        return self._client.calls

    def watch(self) -> None:
        """Read until the instance stops."""
        if not self._read():
            self._ask_seeds()
        while not self._instance.is_stopping:
            with self._instance.driver.lock:
                due = self._instance.node.upkeep.spread.should_read(
                    self._instance.clock.read_elapsed()
                )
            if not due:
                time.sleep(IDLE_PAUSE_S)
            elif not self._read():
                time.sleep(FAILURE_PAUSE_S)

    def _read(self) -> bool:
        """Read documents and the instance list; tell whether it worked."""
        try:
            self._read_documents()
            self._read_list()
        except errors.ConfigurationError as error:
            now = self._instance.clock.read_elapsed()
            with self._instance.driver.lock:
                self._instance.node.upkeep.spread.note_service_failure(now)
            logs.log_event('platform_failed', logging.WARNING, code=error.code)
            return False
        return True

    def _read_documents(self) -> None:
        clock, node = self._instance.clock, self._instance.node
        sent_at = clock.read_elapsed()
        watch = node.upkeep.spread.terms.watch
        found = self._client.watch_teams(self._tree_index, watch)
        changed = found.index != self._tree_index or not self._tree_index
        if changed:
            sent_at = clock.read_elapsed()
            found = self._client.read_subtrees()
        with self._instance.driver.lock:
            now = clock.read_elapsed()
            if changed:
                node.load_subtrees(found.offers, sent_at, now)
            elif not found.is_stale:
                node.upkeep.note_unchanged(sent_at, now)
        self._tree_index = found.index
        self.record_outcomes()

    def _read_list(self) -> None:
        found = self._client.read_instances(self._list_index)
        self._list_index = found.index
        with self._instance.driver.lock:
            node = self._instance.node
            if found.instances != node.view:
                now = self._instance.clock.read_elapsed()
                node.load_list(found.instances, now)

    def _ask_seeds(self) -> None:
        """Fetch list and configuration from peers named in the settings."""
        clock = self._instance.clock
        for name in self._instance.options.seeds:
            plan = self._instance.node.upkeep.plan_bootstrap(
                name, clock.read_elapsed()
            )
            if self._instance.driver.run(plan):
                return

    def record_outcomes(self) -> None:
        """Write what became of offered subtrees to the audit trail."""
        with self._instance.driver.lock:
            outcomes = self._instance.node.upkeep.take_outcomes()
        for outcome in outcomes:
            match outcome:
                case tree.Acceptance():
                    self._record_acceptance(outcome)
                case tree.Refusal():
                    self._record_refusal(outcome)

    def _record_acceptance(self, outcome: tree.Acceptance) -> None:
        at = self._instance.clock.read_wall()
        self._in_force[outcome.team] = status.SubtreeStatus(
            team=outcome.team,
            version=outcome.to_version,
            owner=outcome.owner,
            changed_by=outcome.changed_by,
            in_force_at=at.isoformat(),
        )
        self._instance.audit.add(at, 'subtree_in_force', **outcome._asdict())
        logs.log_event('subtree_in_force', **outcome._asdict())

    def _record_refusal(self, outcome: tree.Refusal) -> None:
        at = self._instance.clock.read_wall()
        fields = outcome._asdict()
        faults = fields.pop('faults')
        texts = [f'{f.path}:{f.line}: {f.reason}' for f in faults]
        self._instance.audit.add(at, 'subtree_refused', faults=texts, **fields)
        self._instance.metrics.count('subtrees_refused', code=outcome.code)
        logs.log_event(
            'subtree_refused', logging.WARNING, faults=len(faults), **fields
        )

    def list_in_force(self) -> list[status.SubtreeStatus]:
        """Return the subtrees in force and when they came into force."""
        return [self._in_force[team] for team in sorted(self._in_force)]
