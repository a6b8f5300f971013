"""Reads of the platform, and records of accepted and rejected subtrees."""

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
    """Threads that read the configuration service for a NodeDaemon.

    Every instance reads once at its start; afterwards only readers do, and
    instances that probe the service (see Dissemination.should_read).
    """

    def __init__(self, daemon: Any):
        self._daemon = daemon
        instance_settings = daemon.instance_settings
        self._client = consul_client.ConsulClient(
            instance_settings.platform.url,
            instance_settings.platform.prefix,
            instance_settings.platform.instance_service,
            daemon.clock,
        )
        self._subtrees_index = 0
        self._instances_index = 0
        self._in_force: dict[str, status.SubtreeStatus] = {}

    @property
    def calls(self) -> int:
        """Return the number of calls made to the platform."""
        return self._client.calls

    def watch_documents(self) -> None:
        """Read documents until the instance stops."""
        if not self._try_read(self._read_documents):
            self._bootstrap_from_seeds()
        while not self._daemon.is_stopping:
            if not self._is_due():
                time.sleep(IDLE_PAUSE_S)
            else:
                self._try_read(self._read_documents)

    def watch_instances(self) -> None:
        """Read the instance list until the instance stops."""
        is_reachable = self._try_read(self._read_instances)
        while not self._daemon.is_stopping:
            dissemination_state = self._daemon.node.synchronizer.dissemination
            if not is_reachable or not dissemination_state.is_reader:
                time.sleep(FAILURE_PAUSE_S)
            known_members = self._daemon.node.membership_view.members
            if dissemination_state.is_reader or not known_members:
                is_reachable = self._try_read(self._read_instances)

    def _is_due(self) -> bool:
        with self._daemon.driver.lock:
            return self._daemon.node.synchronizer.dissemination.should_read(
                self._daemon.clock.read_elapsed()
            )

    def _try_read(self, read: Callable[[], None]) -> bool:
        """Call `read` and return whether it succeeded."""
        try:
            read()
        except errors.ConfigurationError as error:
            logs.log_event(
                'platform_failed',
                logging.WARNING,
                code=error.code,
                reason=error.value,
            )
            now = self._daemon.clock.read_elapsed()
            with self._daemon.driver.lock:
                self._daemon.node.synchronizer.dissemination.record_service_failure(  # noqa: E501
                    now
                )
            return False
        return True

    def _read_documents(self) -> None:
        clock, node = self._daemon.clock, self._daemon.node
        sent_at = clock.read_elapsed()
        watch = node.synchronizer.dissemination.terms.watch
        subtree_list = self._client.watch_teams(self._subtrees_index, watch)
        changed = (
            subtree_list.index != self._subtrees_index
            or not self._subtrees_index
        )
        if changed:
            sent_at = clock.read_elapsed()
            subtree_list = self._client.read_subtrees()
        with self._daemon.driver.lock:
            now = clock.read_elapsed()
            if changed:
                node.load_subtrees(
                    subtree_list.unchecked_subtrees, sent_at, now
                )
            elif not subtree_list.is_stale:
                node.synchronizer.record_unchanged(sent_at, now)
        self._subtrees_index = subtree_list.index
        self.record_outcomes()

    def _read_instances(self) -> None:
        wait = datetime.timedelta(
            seconds=self._daemon.instance_settings.platform.watch_s
        )
        instance_list = self._client.read_instances(
            self._instances_index, wait
        )
        self._instances_index = instance_list.index
        with self._daemon.driver.lock:
            node = self._daemon.node
            if instance_list.instances != node.membership_view:
                now = self._daemon.clock.read_elapsed()
                node.load_view(instance_list.instances, now)

    def _bootstrap_from_seeds(self) -> None:
        """Fetch view and configuration from the seeds in the settings."""
        clock = self._daemon.clock
        for name in self._daemon.instance_settings.seeds:
            plan = self._daemon.node.synchronizer.plan_bootstrap(
                name, clock.read_elapsed()
            )
            if self._daemon.driver.run(plan):
                return

    def record_outcomes(self) -> None:
        """Record accepted and rejected subtrees in the audit trail."""
        with self._daemon.driver.lock:
            outcomes = self._daemon.node.synchronizer.pop_outcomes()
        for outcome in outcomes:
            match outcome:
                case tree.SubtreeAcceptance():
                    self._record_acceptance(outcome)
                case tree.SubtreeRejection():
                    self._record_rejection(outcome)

    def _record_acceptance(self, outcome: tree.SubtreeAcceptance) -> None:
        at = self._daemon.clock.read_wall()
        self._in_force[outcome.team] = status.SubtreeStatus(
            team=outcome.team,
            version=outcome.to_version,
            owner=outcome.owner,
            changed_by=outcome.changed_by,
            in_force_at=at.isoformat(),
        )
        self._daemon.audit.add(at, 'subtree_in_force', **outcome._asdict())
        logs.log_event('subtree_in_force', **outcome._asdict())

    def _record_rejection(self, outcome: tree.SubtreeRejection) -> None:
        at = self._daemon.clock.read_wall()
        fields = outcome._asdict()
        faults = fields.pop('faults')
        texts = [f'{f.path}:{f.line}: {f.reason}' for f in faults]
        self._daemon.audit.add(at, 'subtree_refused', faults=texts, **fields)
        self._daemon.metrics.count('subtrees_refused', code=outcome.code)
        logs.log_event(
            'subtree_refused', logging.WARNING, faults=len(faults), **fields
        )

    def list_subtrees_in_force(self) -> list[status.SubtreeStatus]:
        """Return the subtrees in force and when they came into force."""
        return [self._in_force[team] for team in sorted(self._in_force)]
