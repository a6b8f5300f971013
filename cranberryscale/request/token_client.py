"""Client of budget holders: obtains tokens and returns them."""

import datetime
import random
from typing import Any
from typing import Iterable

from cranberryscale import errors
from cranberryscale import messages
from cranberryscale.process import budgets
from cranberryscale.process import calls
from cranberryscale.process import placement
from cranberryscale.process import share_states
from cranberryscale.process import token_acquisition
from cranberryscale.process import token_cache
from cranberryscale.request import actions
from cranberryscale.request import holder_client


__all__ = ['TokenClient']

# Longer than the 50 ms between two calls of plan_returns, so that no token
# expires in between.
RETURN_MARGIN = datetime.timedelta(milliseconds=55)


class TokenClient(holder_client.HolderClient):
    """Client that obtains tokens and tracks those in use here."""

    def __init__(
        self,
        instance: holder_client.InstanceContext,
        terms: Any,
        rng: random.Random,
    ):
        super().__init__(instance)
        self._random = rng
        self._terms = terms
        self._cache = token_cache.TokenCache(terms)
        self._tokens_in_use: dict[str, Any] = {}

    def plan_tokens(
        self,
        customer: str,
        once_key: str,
        request_id: str,
        now: datetime.timedelta,
    ) -> calls.Plan:
        """Return TokensGranted or AdmissionDenied for one request."""
        shares = placement.list_shares(
            self._instance.get_configuration(), customer
        )
        # An earlier token of this request may have been spent.
        self.settle_token(request_id, True, now)
        if not shares:
            return actions.AdmissionDenied('key_unknown')
        acquisition = token_acquisition.TokenAcquisition(
            self._cache,
            shares,
            self._instance.domain,
            self._terms,
            self._random,
            request_id,
        )
        steps = acquisition.run(now, once_key)
        event: Any = None
        while True:
            try:
                step = steps.send(event)
            except StopIteration as stop:
                if once_key and isinstance(
                    stop.value, token_acquisition.TokenAcquisitionFailed
                ):
                    yield from self._release_once_key(
                        customer, once_key, request_id, stop.value, now
                    )
                return self._make_event(request_id, stop.value)
            match step:
                case budgets.ShareMessage():
                    event = yield from self._call_share_holder(step, now)
                    now = event.ended_at
                case token_acquisition.TokenWait(delay):
                    now = event = (yield calls.Sleep(delay)).ended_at

    def _release_once_key(self, customer, once_key, request_id, result, now):
        """Release an idempotency key that was registered without a token.

        Otherwise the caller's next attempt would be refused as a duplicate.
        """
        if not result.code.startswith('duplicate_'):
            yield from self.plan_finish_once(
                customer, once_key, request_id, errors.NOT_RUN, now
            )

    def _call_share_holder(
        self, share_message: budgets.ShareMessage, now: datetime.timedelta
    ):
        holder = self._instance.find_holder(share_message.share.resource)
        if self._is_unresponsive(holder, now):
            holder = None
        result = yield from calls.call_member(
            holder, share_message.message, self._instance.peer_timeout, now
        )
        self._record_result(holder, result)
        return share_states.TimedReply(
            result.message, result.sent_at, result.ended_at
        )

    def _make_event(
        self,
        request_id: str,
        result: token_acquisition.TokenAcquired
        | token_acquisition.TokenAcquisitionFailed,
    ) -> actions.TokensGranted | actions.AdmissionDenied:
        match result:
            case token_acquisition.TokenAcquired(token=token):
                self._tokens_in_use[request_id] = token
                return actions.TokensGranted(token.expires)
            case token_acquisition.TokenAcquisitionFailed(
                code=code, retry_after=retry_after
            ):
                return actions.AdmissionDenied(code, retry_after)

    def settle_token(
        self, request_id: str, is_spent: bool, now: datetime.timedelta
    ) -> None:
        """Release a request's token; an unspent one may be used again."""
        token = self._tokens_in_use.pop(request_id, None)
        if token is not None:
            self._cache.settle(token, is_spent, now)

    def plan_returns(self, now: datetime.timedelta) -> Iterable[calls.Plan]:
        """Yield plans that return tokens shortly before they expire."""
        for share_message in self._cache.collect_returns(now, RETURN_MARGIN):
            holder = self._instance.find_holder(share_message.share.resource)
            yield calls.call_member(
                holder, share_message.message, self._instance.peer_timeout, now
            )

    def plan_finish_once(
        self,
        customer: str,
        once_key: str,
        request_id: str,
        ran: str,
        now: datetime.timedelta,
    ) -> calls.Plan:
        """Report the result of a request to the holder of share 0.

        A holder without the report keeps refusing repeats as still running,
        so the message is sent up to REPORT_ATTEMPTS times.
        """
        message = messages.FinishOnce(
            customer, once_key, f'{request_id}/0', ran != errors.NOT_RUN
        )
        for attempt in range(holder_client.REPORT_ATTEMPTS):
            shares = placement.list_shares(
                self._instance.get_configuration(), customer
            )
            if not shares:
                return
            holder = self._instance.find_holder(shares[0].resource)
            result = yield from calls.call_member(
                holder, message, self._instance.peer_timeout, now
            )
            if result.error is None:
                return
            now = (
                yield calls.Sleep(
                    holder_client.REPORT_RETRY_DELAY * (attempt + 1)
                )
            ).ended_at

    def remove_idle(self, now: datetime.timedelta) -> None:
        """Remove the state of idle customers and expired holder state."""
        self._cache.remove_idle(now)
        self._remove_expired(now)
