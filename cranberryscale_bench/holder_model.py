"""Drive real pool holders in simulated time."""

from collections.abc import Iterable
import datetime
import random as random_module
from typing import Any
from typing import NamedTuple

from cranberryscale import messages
from cranberryscale.process import pools


__all__ = ['HolderPool', 'Lease']


class Lease(NamedTuple):
    """Stand in for process.leases.Lease."""

    resource: str
    since: datetime.timedelta
    until: datetime.timedelta


class HolderPool:
    """Drive the holder of one pool and its lease."""

    def __init__(self, model: Any, domain: str):
        self._model = model
        self.domain = domain
        self.holder = pools.PoolHolder(
            'app', domain, random_module.Random(f'{model.seed}{domain}')
        )
        self.since_s: float | None = 0.0
        self.waiting: dict[int, Any] = {}
        self.holder.load_members(model.members, self.now)
        self.unanswering: frozenset[str] = frozenset()
        self.load_servers()

    @property
    def now(self) -> datetime.timedelta:
        """Return the model's time."""
        return datetime.timedelta(seconds=self._model.now_s)

    def load_servers(self) -> None:
        """Load the model's configuration."""
        self.holder.load_servers(self._model.configuration, self.now)

    def replace_holder(self, lost: str, gap_s: float) -> None:
        """Lose the holder, an entry instance too, and find another later."""
        self.since_s = None
        self.unanswering = frozenset((lost,))
        self._model.at(self._model.now_s + gap_s, self._begin)

    def _begin(self) -> None:
        self.since_s = self._model.now_s

    @property
    def lease(self) -> Lease | None:
        """Return the current lease."""
        if self.since_s is None:
            return None
        since = datetime.timedelta(seconds=self.since_s)
        return Lease('pool', since, self.now + datetime.timedelta(seconds=8))

    def ask(self, request: Any) -> None:
        """Ask for a permit and pass the answer on, now or later."""
        message = messages.TakePermit(
            'app',
            self.domain,
            request.request_id,
            request.customer,
            request.deadline_s - self._model.now_s,
            request.excluded,
            request.probe_ok,
        )
        reply = self.holder.request_permit(
            message, request.instance, self.lease, self.now
        )
        if isinstance(reply, pools.PermitDeferral):
            self.waiting[reply.ticket] = request
            self._resolve(self.holder.advance(self.lease, self.now))
        else:
            self._model.take_reply(self, request, reply)

    def report(self, request: Any, report: Any) -> None:
        """Deliver the report of a finished request."""
        self._resolve(
            self.holder.finish_permit(
                report, request.instance, self.lease, self.now
            )
        )

    def tick(self) -> None:
        """Advance the holder and answer its survey."""
        for member in self.holder.list_unsurveyed(self.lease, self.now):
            if member not in self.unanswering:
                reply = self._model.survey(self, member)
                self._resolve(
                    self.holder.record_survey_reply(
                        member, reply, self.lease, self.now
                    )
                )
        self._resolve(self.holder.advance(self.lease, self.now))

    def exchange(self, others: Iterable['HolderPool']) -> None:
        """Take the summaries of the other domains' holders."""
        for other in others:
            if other is not self and other.since_s is not None:
                self.holder.record_summary(
                    other.domain, other.holder.summarize(self.now), self.now
                )

    def list_states(self) -> dict[str, str]:
        """Return each server's state."""
        rows = self.holder.list_server_snapshots(self.lease, self.now)
        return {row.server: row.state for row in rows}

    def _resolve(self, answers: tuple[pools.DeferredReply, ...]) -> None:
        for answer in answers:
            request = self.waiting.pop(answer.ticket)
            self._model.take_reply(self, request, answer.reply)
