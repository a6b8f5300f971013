"""Mutations of what guards against the reports of other operators.

See docs/reports.md; the last ones concern the incidents of the same time.
"""

from cranberryscale_bench import mutants


__all__ = ['MUTATIONS']


MUTATIONS = (
    mutants.Mutation(
        'entry-nesting-untyped',
        'cranberryscale/platform/entry_decoding.py',
        '        # Nested too deeply.\n        RecursionError,\n',
        '',
        ('odd_entries',),
        'an entry that is nested too deeply is refused alone',
    ),
    mutants.Mutation(
        'entry-number-unbounded',
        'cranberryscale/platform/entry_decoding.py',
        '    born: _Count = 0\n',
        '    born: int = 0\n',
        ('odd_entries',),
        'an entry with a number too large is refused alone',
    ),
    mutants.Mutation(
        'entry-port-unchecked',
        'cranberryscale/platform/entry_decoding.py',
        ' or not 1 <= int(port) <= 65535',
        '',
        ('odd_entries',),
        'a server has a port that exists',
    ),
    mutants.Mutation(
        'kind-unknown-repeated',
        'cranberryscale/platform/entry_decoding.py',
        '_IDEMPOTENT.get(row.route_type, False)',
        '_IDEMPOTENT.get(row.route_type, True)',
        ('odd_entries',),
        'a request of an unknown kind runs once',
    ),
    mutants.Mutation(
        'head-unbounded',
        'cranberryscale/connection/http_heads.py',
        '        self._remaining_bytes -= len(line)\n',
        '',
        ('reports',),
        'the head of an answer is bounded',
    ),
    mutants.Mutation(
        'stop-queue-dropped',
        'cranberryscale/connection/listeners.py',
        '        self._accept_waiting(listener)\n',
        '',
        ('stops',),
        'connections in the queue of a listener are accepted before it closes',
    ),
    mutants.Mutation(
        'token-debt-forgotten',
        'cranberryscale/process/quotas.py',
        'return self._admit(now, delay)',
        'return QuotaDecision(True, delay)',
        ('quotas',),
        'a token that is waited for is taken from the bucket',
    ),
    mutants.Mutation(
        'token-not-waited-for',
        'cranberryscale/request/core_admission.py',
        '                self._clock.sleep(delay)\n',
        '',
        ('coordination',),
        'a request starts only when its token is due',
    ),
    mutants.Mutation(
        'follower-rejected-reader-waits',
        'cranberryscale/process/store_follower.py',
        '            or self._is_rejected_reader()\n',
        '',
        ('following',),
        'a reader without the store pulls from readers elsewhere',
    ),
    mutants.Mutation(
        'route-shared-index',
        'cranberryscale/request/routes.py',
        'prefixes = index.by_host.get(name)',
        'prefixes = self._index.by_host.get(name)',
        ('routes',),
        'a lookup uses its own configuration',
    ),
    mutants.Mutation(
        'shutdown-end-ignored',
        'cranberryscale/process/shutdown.py',
        'if deadline <= self.ends_at:',
        'if True:',
        ('shutdown',),
        'a stopping instance passes on only what ends before it',
    ),
    mutants.Mutation(
        'shutdown-not-checked-again',
        'cranberryscale/request/flow.py',
        '            state.check_shutdown()\n            state.check_repeat',
        '            state.check_repeat',
        ('shutdown',),
        'the shutdown is checked again after the wait for a permit',
    ),
    mutants.Mutation(
        'request-given-up-without-a-permit',
        'cranberryscale/request/flow.py',
        '    while state.exchanges:\n',
        '    while False:\n',
        ('given_up_requests',),
        'open exchanges are waited for before the instance answers',
    ),
    mutants.Mutation(
        'request-given-up-for-a-second-server',
        'cranberryscale/request/proxied_requests.py',
        '        self._unreported[action.server.name] = action\n',
        '        self._cancel_exchanges()\n'
        '        self._unreported[action.server.name] = action\n',
        ('gateway',),
        'the first exchange stays open beside a second attempt',
    ),
    mutants.Mutation(
        'repeat-under-a-changed-route',
        'cranberryscale/request/flow.py',
        '            state.check_repeat()\n',
        '',
        ('flow',),
        'a route may forbid repeats while a permit is waited for',
    ),
    mutants.Mutation(
        'quota-part-rounded-up',
        'cranberryscale/process/fleet_buckets.py',
        '            self.tokens = part + (part < limits.burst)\n',
        '            self.tokens = 1 + part\n',
        ('quotas',),
        'a part below one request is not rounded up',
    ),
    mutants.Mutation(
        'quota-start-in-step',
        'cranberryscale/process/fleet_buckets.py',
        'return (self.rank / self.instances + offset) % 1',
        'return offset',
        ('quotas',),
        'the times of parts below one request are spread',
    ),
    mutants.Mutation(
        'quota-deputy-accrues',
        'cranberryscale/process/quotas.py',
        '        if not is_holder:\n            return',
        '        if False:\n            return',
        ('quota_bounds',),
        'a successor admits its start until it is the holder',
    ),
    mutants.Mutation(
        'instance-age-ignored',
        'cranberryscale/process/roster.py',
        'now - self._find_age_ahead(record)',
        'now',
        ('quota_bounds',),
        'an instance that starts does not take itself for the holder',
    ),
    mutants.Mutation(
        'connection-id-twice',
        'cranberryscale/connection/connection_pool.py',
        'request_id not in self.request_methods',
        'True',
        ('refusal_copies',),
        'a connection carries a request id once',
    ),
)
