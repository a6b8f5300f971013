"""Mutations of what is remembered of requests under which servers end."""

from cranberryscale_bench import mutants


__all__ = ['MUTATIONS']


_TABLE = 'cranberryscale/process/request_crashes.py'


MUTATIONS = (
    mutants.Mutation(
        'crash-limit-raised',
        _TABLE,
        '\nCRASH_LIMIT = 2\n',
        '\nCRASH_LIMIT = 4\n',
        ('crash_bounds', 'request_crashes'),
        'a request is refused after two servers ended',
    ),
    mutants.Mutation(
        'crash-untold',
        'cranberryscale/core.py',
        '        self.crashes.merge(history, now)\n',
        '',
        ('crash_bounds',),
        'holders learn of ends from the instances that saw them',
    ),
    mutants.Mutation(
        'crash-successor-untold',
        'cranberryscale/core.py',
        'for holder in holders - told:',
        'for holder in ():',
        ('crash_bounds',),
        'a new holder learns what the lost one knew',
    ),
    mutants.Mutation(
        'crash-alone-sent-on',
        'cranberryscale/request/core_admission.py',
        'if self._core.crashes.is_refused(action.digest, now):',
        'if not action.digest:',
        ('crash_bounds',),
        'an instance without holders refuses what it knows of',
    ),
    mutants.Mutation(
        'crash-never-cleared',
        _TABLE,
        '            if at > now\n',
        '',
        ('request_crashes', 'crash_bounds'),
        'an answer clears the ends before it',
    ),
    mutants.Mutation(
        'crash-not-tried-again',
        _TABLE,
        'return now - ends[-1] < RECOVERY_TIME',
        'return True',
        ('request_crashes', 'crash_bounds'),
        'a request that was answered before is tried again',
    ),
    mutants.Mutation(
        'crash-drift',
        _TABLE,
        'REPLY_MARGIN = datetime.timedelta(milliseconds=200)',
        'REPLY_MARGIN = datetime.timedelta(0)',
        ('request_crashes',),
        'exchanges make no answer seem more recent',
    ),
    mutants.Mutation(
        'crash-body-ignored',
        'cranberryscale/request/proxied_requests.py',
        'parts.append(',
        'bytes(',
        ('gateway',),
        'requests are told apart by their bodies',
    ),
)
