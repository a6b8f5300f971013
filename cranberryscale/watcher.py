"""Reads of the platform, and records of what came of them."""

import datetime
import time
from typing import Any
from typing import Callable

from absl import logging

from cranberryscale.connection import consul_client
from cranberryscale import errors
from cranberryscale import logs
from cranberryscale.process import status
from cranberryscale.version import tree


__all__ = ['PlatformWatcher']

IDLE_PAUSE_S = 0.1
FAILURE_PAUSE_S = 0.5


class PlatformWatcher:
    """Read the configuration service when this instance is to.

    Every instance reads once at its start; later only readers do.
    """

    def __init__(self, instance: Any):
        self._instance = instance
        options = instance.options
        self._client = consul_client.ConsulClient(
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

    def watch_documents(self) -> None:
        """Read documents until the instance stops."""
        if not self._try(self._read_documents):
            self._ask_seeds()
        while not self._instance.is_stopping:
            if not self._is_due():
                time.sleep(IDLE_PAUSE_S)
            else:
                self._try(self._read_documents)

    def watch_instances(self) -> None:
        """Read the instance list until the instance stops."""
        works = self._try(self._read_list)
        while not self._instance.is_stopping:
            spreading = self._instance.node.synchronizer.dissemination
            if not works or not spreading.is_reader:
                time.sleep(FAILURE_PAUSE_S)
            listed = self._instance.node.membership_view.members
            if spreading.is_reader or not listed:
                works = self._try(self._read_list)

    def _is_due(self) -> bool:
        with self._instance.driver.lock:
            return self._instance.node.synchronizer.dissemination.should_read(
                self._instance.clock.read_elapsed()
            )

    def _try(self, read: Callable[[], None]) -> bool:
        """Read once; tell whether the platform answered."""
        try:
            read()
        except errors.ConfigurationError as error:
            logs.log_event(
                'platform_failed',
                logging.WARNING,
                code=error.code,
                reason=error.value,
            )
            now = self._instance.clock.read_elapsed()
            with self._instance.driver.lock:
                self._instance.node.synchronizer.dissemination.record_service_failure(  # noqa: E501
                    now
                )
            return False
        return True

    def _read_documents(self) -> None:
        clock, node = self._instance.clock, self._instance.node
        sent_at = clock.read_elapsed()
        watch = node.synchronizer.dissemination.terms.watch
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
                node.synchronizer.record_unchanged(sent_at, now)
        self._tree_index = found.index
        self.record_outcomes()

    def _read_list(self) -> None:
        wait = datetime.timedelta(
            seconds=self._instance.options.platform.watch_s
        )
        found = self._client.read_instances(self._list_index, wait)
        self._list_index = found.index
        with self._instance.driver.lock:
            node = self._instance.node
            if found.instances != node.membership_view:
                now = self._instance.clock.read_elapsed()
                node.load_view(found.instances, now)

    def _ask_seeds(self) -> None:
        """Fetch list and configuration from peers named in the settings."""
        clock = self._instance.clock
        for name in self._instance.options.seeds:
            plan = self._instance.node.synchronizer.plan_bootstrap(
                name, clock.read_elapsed()
            )
            if self._instance.driver.run(plan):
                return

    def record_outcomes(self) -> None:
        """Write what became of offered subtrees to the audit trail."""
        with self._instance.driver.lock:
            outcomes = self._instance.node.synchronizer.pop_outcomes()
        for outcome in outcomes:
            match outcome:
                case tree.SubtreeAcceptance():
                    self._record_acceptance(outcome)
                case tree.SubtreeRejection():
                    self._record_refusal(outcome)

    def _record_acceptance(self, outcome: tree.SubtreeAcceptance) -> None:
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

    def _record_refusal(self, outcome: tree.SubtreeRejection) -> None:
        at = self._instance.clock.read_wall()
        fields = outcome._asdict()
        faults = fields.pop('faults')
        texts = [f'{f.path}:{f.line}: {f.reason}' for f in faults]
        self._instance.audit.add(at, 'subtree_refused', faults=texts, **fields)
        self._instance.metrics.count('subtrees_refused', code=outcome.code)
        logs.log_event(
            'subtree_refused', logging.WARNING, faults=len(faults), **fields
        )

    def list_subtrees_in_force(self) -> list[status.SubtreeStatus]:
        """Return the subtrees in force and when they came into force."""
        return [self._in_force[team] for team in sorted(self._in_force)]
