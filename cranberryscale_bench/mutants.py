"""Mutations of leases, suspicion, budgets and idempotency keys."""

from typing import NamedTuple


__all__ = ['MUTATIONS', 'Mutation']


class Mutation(NamedTuple):
    """Say how to break one rule and which test files should notice.

    `original` stands exactly once in `file` and becomes `replacement`;
    `tests` are names of test files without prefix and suffix.
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
        'a member grants to nobody between two holders',
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
        'freshness counts from when a pull was sent',
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
        'a lease is checked just before its use',
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
        'grants name one process, not a name',
    ),
    Mutation(
        'lease-older-incarnation',
        'cranberryscale/process/gossip.py',
        'return heartbeat.identity.incarnation > known.identity.incarnation',
        'return heartbeat.at > known.at',
        ('leases', 'membership'),
        'an earlier incarnation never counts again',
    ),
    Mutation(
        'lease-retire-ignored',
        'cranberryscale/process/leases.py',
        '        self._retired = True\n',
        '',
        ('leases', 'membership'),
        'a process with a successor stops for good',
    ),
    Mutation(
        'suspicion-no-hysteresis',
        'cranberryscale/process/failure_detector.py',
        'if health.alive or not health.suspected:',
        'if heartbeat_age <= suspect_after:',
        ('membership',),
        'a lost member returns only after a fresh time',
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
        'tokens on hand never exceed the burst',
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
        'validity counts from the time of asking',
    ),
    Mutation(
        'budget-expired-token-spent',
        'cranberryscale/process/token_cache.py',
        '        tokens.remove_expired(now)\n        if not tokens.batches:',
        '        if not tokens.batches:',
        ('budgets',),
        'validity is checked just before spending',
    ),
    Mutation(
        'budget-loan-from-arrival',
        'cranberryscale/process/budgets.py',
        'expires = sent_at + datetime',
        'expires = now + datetime',
        ('budgets',),
        'a loan counts from the time of asking',
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
        'a grant ends with its lease',
    ),
    Mutation(
        'budget-returned-twice',
        'cranberryscale/process/budgets.py',
        ' and not grant.returned\n',
        '\n',
        ('budgets',),
        'each grant is credited back once',
    ),
    Mutation(
        'budget-return-of-spent',
        'cranberryscale/process/token_bucket.py',
        'credit_units = min(max(amount, 0) * UNITS_PER_TOKEN, grant_units)',
        'credit_units = max(amount, 0) * UNITS_PER_TOKEN',
        ('budgets',),
        'only what is outstanding is credited',
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
        'a repeat is refused while the first one runs',
    ),
    Mutation(
        'once-new-lease-keeps-memory',
        'cranberryscale/process/idempotency.py',
        '            self.remove_customer(customer)\n',
        '',
        ('once',),
        'memory belongs to one lease',
    ),
    Mutation(
        'once-finished-by-another',
        'cranberryscale/process/idempotency.py',
        'if record is None or record.request_id != request_id:',
        'if record is None:',
        ('once',),
        'only the request that registered a key ends it',
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
        'a key is never forgotten early',
    ),
)
