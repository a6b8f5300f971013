"""Mutations of pools, permits, ejections and evidence."""

from cranberryscale_bench import mutants


__all__ = ['MUTATIONS']


MUTATIONS = (
    mutants.Mutation(
        'pool-one-slot-more',
        'cranberryscale/process/leased/slot_selection.py',
        'return limit - self._permits.count(record.server.name)',
        'return limit + 1 - self._permits.count(record.server.name)',
        ('pools',),
        'requests at a server never exceed its slots',
    ),
    mutants.Mutation(
        'pool-no-instance-cap',
        'cranberryscale/process/leased/slot_selection.py',
        '< survey.compute_instance_limit(record.server.slots)',
        '< record.server.slots',
        ('pools',),
        'no instance holds over half of the slots',
    ),
    mutants.Mutation(
        'pool-survey-ignored',
        'cranberryscale/process/leased/slot_selection.py',
        'if self._survey.is_open(now_s):',
        'if False:',
        ('pools',),
        'members without a survey reply count with their limit',
    ),
    mutants.Mutation(
        'pool-unsurveyed-served',
        'cranberryscale/process/leased/permit_issuer.py',
        'if self.survey.is_pending(queued.sender, now_s):',
        'if False:',
        ('pools',),
        'a member is surveyed before it gets a permit',
    ),
    mutants.Mutation(
        'pool-out-server-used',
        'cranberryscale/process/leased/server_records.py',
        "return self.state == 'in use' and not self.is_out",
        "return self.state == 'in use'",
        ('pools',),
        'a server taken out gets no permit',
    ),
    mutants.Mutation(
        'pool-cold-limit-ignored',
        'cranberryscale/process/leased/slow_start.py',
        'return min(self._limit, self._server.slots)',
        'return self._server.slots',
        ('ramps', 'pools'),
        'a cold server runs at most the limit of its slow start',
    ),
    mutants.Mutation(
        'pool-queue-unfair',
        'cranberryscale/process/leased/fair_queue.py',
        '            self._by_customer.move_to_end(queued.customer)',
        '            self._by_customer.move_to_end('
        'queued.customer, last=False)',
        ('pools',),
        'the queue serves customers in turn',
    ),
    mutants.Mutation(
        'pool-late-request-queued',
        'cranberryscale/process/leased/permit_issuer.py',
        'if queued.deadline_s - now_s < service_s + wait_s:',
        'if False:',
        ('pools',),
        'a request without enough time is refused at once',
    ),
    mutants.Mutation(
        'pool-excluded-ignored',
        'cranberryscale/process/leased/slot_selection.py',
        'return name not in request.excluded and self',
        'return self',
        ('pools',),
        'a server that failed a request is not tried again',
    ),
    mutants.Mutation(
        'pool-freed-on-cancel',
        'cranberryscale/process/leased/permit_issuer.py',
        "('cancelled', 'silent', 'truncated')",
        "('silent', 'truncated')",
        ('pools',),
        'a cancelled request may still use its slot',
    ),
    mutants.Mutation(
        'pool-freed-by-another',
        'cranberryscale/process/leased/permit_issuer.py',
        'permit.sender != sender',
        'False',
        ('pools',),
        'only the instance of a permit can return it',
    ),
    mutants.Mutation(
        'pool-start-after-lease',
        'cranberryscale/process/leased/permit_issuer.py',
        'return min(within_s, self.until_s - now_s)',
        'return within_s',
        ('pools',),
        'no permit is used after the lease',
    ),
    mutants.Mutation(
        'permit-from-before-survey',
        'cranberryscale/process/local_permits.py',
        'requested_at <= surveyed_at',
        'False',
        ('ledger',),
        'permits asked for before a survey are not used',
    ),
    mutants.Mutation(
        'ejection-floor-ignored',
        'cranberryscale/process/leased/outlier_ejection.py',
        'if len(self.records_in_use) > self._floor or self._restore_better(\n'
        '            record, now_s\n        ):',
        'if record.is_in_use:',
        ('evidence',),
        'ejection keeps the floor in use',
    ),
    mutants.Mutation(
        'trial-without-consent',
        'cranberryscale/process/leased/slot_selection.py',
        '        if not request.probe_ok:\n            return None\n',
        '',
        ('evidence',),
        'trials run only requests that may be repeated',
    ),
    mutants.Mutation(
        'evidence-no-threshold',
        'cranberryscale/process/leased/evidence.py',
        'ERROR_THRESHOLD = 12.5',
        'ERROR_THRESHOLD = 0.0',
        ('evidence',),
        'a few errors eject no server',
    ),
    mutants.Mutation(
        'evidence-no-reset',
        'cranberryscale/process/leased/server_records.py',
        '        self.evidence.reset()\n',
        '',
        ('evidence',),
        'a restored server starts without old evidence',
    ),
)
