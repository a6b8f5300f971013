"""Mutations of the bound on the retries that all holders grant."""

from cranberryscale_bench import mutants


__all__ = ['MUTATIONS']


MUTATIONS = (
    mutants.Mutation(
        'retry-others-unknown',
        'cranberryscale/process/pool/retry_budgets.py',
        'limit = slack + self._find_earned(counts, now) - overdraft',
        'limit = slack + self._find_earned(counts, now)',
        ('repeat_bounds',),
        'a holder subtracts what others granted within the window',
    ),
    mutants.Mutation(
        'retry-whole-budget-at-start',
        'cranberryscale/process/pool/retry_budgets.py',
        'kept = START_PART * slack',
        'kept = KEPT_PART * slack',
        ('repeat_bounds',),
        'a new holder starts with a part of the budget',
    ),
    mutants.Mutation(
        'retry-sides-not-counted',
        'cranberryscale/process/pool/retry_budgets.py',
        'slack = share.slack * share.part',
        'slack = share.slack',
        ('repeat_bounds',),
        'a holder uses its part of the instances that may be up',
    ),
    mutants.Mutation(
        'retry-successor-not-told',
        'cranberryscale/core.py',
        'if reports and holder != name:',
        'if False:',
        ('retry_ledgers',),
        'a holder tells its successor what it granted',
    ),
    mutants.Mutation(
        'retry-question-tells-nothing',
        'cranberryscale/core.py',
        'ledger.merge(message.retries or (), now)',
        'ledger.merge((), now)',
        ('retry_ledgers', 'repeat_bounds'),
        'a new holder learns from questions what others granted',
    ),
    mutants.Mutation(
        'retry-resumed-holder-keeps',
        'cranberryscale/core.py',
        'self._held_since = dict.fromkeys(self._held_since, now)',
        'pass',
        ('retry_ledgers', 'repeat_bounds'),
        'an instance that did not run acts as a new holder',
    ),
    mutants.Mutation(
        'retry-newest-refunded',
        'cranberryscale/process/pool/retry_budgets.py',
        'granted_at = self._granted_at.pop(request_id, None)',
        '_, granted_at = self._granted_at.popitem()',
        ('repeat_bounds',),
        'a refund takes back the retry that was not used',
    ),
    mutants.Mutation(
        'retry-paid-twice',
        'cranberryscale/process/pool/server_pool.py',
        'return request.is_paid or self._retry_budget.try_spend(',
        'return self._retry_budget.try_spend(',
        ('dispatch',),
        'a retry granted by another shard costs nothing',
    ),
)
