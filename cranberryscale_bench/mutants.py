"""Mutations of leases, suspicion, budgets and idempotency keys."""

from typing import NamedTuple


__all__ = ['MUTATIONS', 'Mutation']


class Mutation(NamedTuple):
    """Change of the code that breaks one rule, and the tests to detect it.

    `original` occurs exactly once in `file` and is replaced by
    `replacement`; `tests` are names of test files without prefix and suffix.
    """

    name: str
    file: str
    original: str
    replacement: str
    tests: tuple[str, ...]
    rule: str


MUTATIONS = (
    Mutation(
        'lease-no-wait',
        'cranberryscale/process/lease_grants.py',
        'if each in current or each in recent), None\n'
        '    )\n'
        '    if best is None or best in recent:',
        'if each in current), None\n    )\n    if best is None:',
        ('leases', 'membership'),
        'a member waits between grants to two holders',
    ),
    Mutation(
        'lease-start-no-wait',
        'cranberryscale/process/lease_grants.py',
        '    if is_waiting(started, now, wait):\n        return None\n',
        '',
        ('leases', 'membership'),
        'a new process grants nothing at first',
    ),
    Mutation(
        'lease-age-from-arrival',
        'cranberryscale/process/membership.py',
        'decode_heartbeats(reply, named, sent_at)',
        'decode_heartbeats(reply, named, now)',
        ('leases', 'membership'),
        'the age of a heartbeat counts from when the pull was sent',
    ),
    Mutation(
        'lease-quorum-half',
        'cranberryscale/version/view.py',
        '-(-QUORUM_NUMERATOR * size // QUORUM_DENOMINATOR)',
        '-(-size // 2)',
        ('messages', 'membership'),
        'any two quorums share a member',
    ),
    Mutation(
        'lease-end-ignored',
        'cranberryscale/process/leases.py',
        'return lease if lease and now < lease.until else None',
        'return lease',
        ('leases', 'membership'),
        'an expired lease is not used',
    ),
    Mutation(
        'lease-since-kept',
        'cranberryscale/process/leases.py',
        'before is not None and now < before.until',
        'before is not None',
        ('leases', 'membership'),
        'an interrupted lease has a new start',
    ),
    Mutation(
        'lease-older-process-granted',
        'cranberryscale/process/leases.py',
        'return found == self._identity',
        'return found is not None and found.member == self._identity.member',
        ('leases', 'membership'),
        'a grant is for one incarnation of a member',
    ),
    Mutation(
        'lease-older-incarnation',
        'cranberryscale/process/gossip.py',
        'return heartbeat.identity.incarnation > known.identity.incarnation',
        'return heartbeat.at > known.at',
        ('leases', 'membership'),
        'heartbeats of an earlier incarnation are ignored',
    ),
    Mutation(
        'lease-retire-ignored',
        'cranberryscale/process/leases.py',
        '        self._retired = True\n',
        '',
        ('leases', 'membership'),
        'an instance replaced by a newer incarnation retires',
    ),
    Mutation(
        'suspicion-no-hysteresis',
        'cranberryscale/process/failure_detector.py',
        'if health.alive or not health.suspected:',
        'if heartbeat_age <= suspect_after:',
        ('membership',),
        'a lost member returns only after a time of fresh heartbeats',
    ),
    Mutation(
        'suspicion-after-own-pause',
        'cranberryscale/process/failure_detector.py',
        'if health.alive and listening_for <= suspect_after:',
        'if False:',
        ('membership',),
        'after its own pause an instance suspects nobody',
    ),
    Mutation(
        'budget-credit-before-debit',
        'cranberryscale/process/token_cache.py',
        '                    tokens.batches.remove(batch)\n'
        '                    message',
        '                    message',
        ('budgets',),
        'a receiver debits tokens before it returns them',
    ),
    Mutation(
        'budget-outstanding-ignored',
        'cranberryscale/process/token_bucket.py',
        'max_units = max(self._burst_units - self._outstanding_units, 0)\n'
        '        self._token_units = min(self._token_units + accrued',
        'max_units = self._burst_units\n'
        '        self._token_units = min(self._token_units + accrued',
        ('budgets',),
        'tokens + outstanding <= burst',
    ),
    Mutation(
        'budget-no-burst-cap',
        'cranberryscale/process/token_bucket.py',
        'self._token_units = '
        'min(self._token_units + accrued_units, max_units)',
        'self._token_units += accrued_units',
        ('budgets',),
        'a bucket never has more tokens than its burst',
    ),
    Mutation(
        'budget-starts-full',
        'cranberryscale/process/token_bucket.py',
        '        self._token_units = 0\n',
        '        self._token_units = share.burst_requests * UNITS_PER_TOKEN\n',
        ('budgets',),
        'a bucket starts empty with its lease',
    ),
    Mutation(
        'budget-expiry-from-arrival',
        'cranberryscale/process/token_cache.py',
        'expires = sent_at + datetime',
        'expires = now + datetime',
        ('budgets',),
        'the validity of tokens counts from the request',
    ),
    Mutation(
        'budget-expired-token-spent',
        'cranberryscale/process/token_cache.py',
        '        tokens.remove_expired(now)\n        if not tokens.batches:',
        '        if not tokens.batches:',
        ('budgets',),
        'an expired token is not spent',
    ),
    Mutation(
        'budget-loan-from-arrival',
        'cranberryscale/process/budgets.py',
        'expires = sent_at + datetime',
        'expires = now + datetime',
        ('budgets',),
        'the validity of a loan counts from the request',
    ),
    Mutation(
        'budget-loan-after-expiry',
        'cranberryscale/process/share_accounts.py',
        'if loan.expires <= now\n',
        'if False\n',
        ('budgets',),
        'an expired loan is not spent',
    ),
    Mutation(
        'budget-grant-after-lease',
        'cranberryscale/process/share_accounts.py',
        'expires = min(now + validity, lease_until)',
        'expires = now + validity',
        ('budgets',),
        'a grant expires with the lease at the latest',
    ),
    Mutation(
        'budget-returned-twice',
        'cranberryscale/process/budgets.py',
        ' and not grant.returned\n',
        '\n',
        ('budgets',),
        'the return of a grant is credited once',
    ),
    Mutation(
        'budget-return-of-spent',
        'cranberryscale/process/token_bucket.py',
        'credit_units = min(max(amount, 0) * UNITS_PER_TOKEN, grant_units)',
        'credit_units = max(amount, 0) * UNITS_PER_TOKEN',
        ('budgets',),
        'a return credits only outstanding tokens',
    ),
    Mutation(
        'budget-retry-granted-twice',
        'cranberryscale/process/budgets.py',
        'grant = account.grants.get(request.request_id)',
        'grant = None',
        ('budgets',),
        'a repeated request gets the same grant',
    ),
    Mutation(
        'once-forgets-running',
        'cranberryscale/process/idempotency.py',
        'return KeyState.STARTED if is_same_request else KeyState.RUNNING',
        'return KeyState.STARTED',
        ('once',),
        'a repeated request is refused while the first one runs',
    ),
    Mutation(
        'once-new-lease-keeps-memory',
        'cranberryscale/process/idempotency.py',
        '            self.remove_customer(customer)\n',
        '',
        ('once',),
        'a new lease starts without recorded idempotency keys',
    ),
    Mutation(
        'once-finished-by-another',
        'cranberryscale/process/idempotency.py',
        'if record is None or record.request_id != request_id:',
        'if record is None:',
        ('once',),
        'only the request that registered a key finishes it',
    ),
    Mutation(
        'once-full-forgets',
        'cranberryscale/process/idempotency.py',
        'raise errors.make_error(\n'
        "                'budget_unavailable',\n"
        '                len(self._records),\n'
        '                self._find_retry_after(now),\n'
        '            )',
        'self._records.popitem(last=False)',
        ('once',),
        'an idempotency key is never dropped early',
    ),
)
