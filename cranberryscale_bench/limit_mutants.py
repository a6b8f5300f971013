"""Mutations of what keeps the limits that backend servers name."""

from cranberryscale_bench import mutants


__all__ = ['MUTATIONS']


MUTATIONS = (
    mutants.Mutation(
        'limit-unread',
        'cranberryscale/platform/header_names.py',
        '    limit=\'server-limit\',\n',
        '',
        ('server_limits',),
        'the limit in an answer is read',
    ),
    mutants.Mutation(
        'limit-not-binding',
        'cranberryscale/process/tracked_servers.py',
        'return not self.is_at_limit and self._can_start_cold(',
        'return self._can_start_cold(',
        ('server_limits',),
        'a server at its limit starts nothing',
    ),
    mutants.Mutation(
        'limit-held-by-all',
        'cranberryscale/core.py',
        'if not was_paused and self.find_shard_holder(shard, now) == name:',
        'if not was_paused:',
        ('limit_bounds',),
        'only the holder starts requests at a limited server',
    ),
    mutants.Mutation(
        'limit-after-pause',
        'cranberryscale/core.py',
        'if not was_paused and self.find_shard_holder(shard, now) == name:',
        'if self.find_shard_holder(shard, now) == name:',
        ('limit_bounds',),
        'an instance that was paused hears from others first',
    ),
    mutants.Mutation(
        'limit-whole-on-each-side',
        'cranberryscale/process/server_limits.py',
        'return min(1.0, PART_MARGIN * up / known)',
        'return 1.0',
        ('limit_bounds',),
        'the sides of a partition share a limit',
    ),
    mutants.Mutation(
        'limit-unsettled-counted',
        'cranberryscale/core.py',
        'self.roster.count_settled(now), known if has_joined else None',
        'len(self.roster.list_up()), known if has_joined else None',
        ('limit_bounds',),
        'sides that just met again do not both use the whole limit',
    ),
    mutants.Mutation(
        'limit-not-told-to-holder',
        'cranberryscale/core.py',
        '        self.limits.merge(message.limits, now)\n',
        '',
        ('limit_bounds',),
        'a successor learns limits from instances that were told',
    ),
    mutants.Mutation(
        'limit-lifted-by-earlier-request',
        'cranberryscale/process/server_limits.py',
        'if known is None or sent_at <= known.stated_at:',
        'if known is None:',
        ('server_limits',),
        'an answer to an earlier request does not end a limit',
    ),
    mutants.Mutation(
        'limit-late-permit-used',
        'cranberryscale/process/dispatch.py',
        'and now - granted_at > server_limits.CLAIM_TIME',
        'and False',
        ('server_limits',),
        'a permit of one window is not used in the next',
    ),
    mutants.Mutation(
        'limit-unused-permit-spent',
        'cranberryscale/process/server_limits.py',
        'if is_spent and not has_started and self._bucket is not None:',
        'if False:',
        ('server_limits',),
        'a permit that was not used costs no request of the limit',
    ),
    mutants.Mutation(
        'limit-burst-at-start',
        'cranberryscale/process/server_limits.py',
        'self._bucket = fleet_buckets.Bucket(limits, phase, now)',
        'self._bucket = fleet_buckets.Bucket(\n'
        '                limits._replace(start=burst), phase, now\n'
        '            )',
        ('server_limits',),
        'a new holder starts with an empty bucket',
    ),
    mutants.Mutation(
        'limit-return-not-queued',
        'cranberryscale/process/return_schedule.py',
        'ahead = min(waiting + len(self._returns), MAX_RETURNS)',
        'ahead = 0',
        ('server_limits',),
        'callers are told when there is room for them',
    ),
    mutants.Mutation(
        'joiner-ignores-down',
        'cranberryscale/process/roster.py',
        'if self.has_finished_joining(now):\n                return',
        'if True:\n                return',
        ('roster',),
        'an instance that starts counts the other side of a partition',
    ),
    mutants.Mutation(
        'answer-head-cut',
        'cranberryscale/connection/http_heads.py',
        'while (line := stream.readline()) != b\'\\r\\n\':',
        'while (line := stream.readline()) not in (b\'\', b\'\\r\\n\'):',
        ('reports',),
        'an answer that ends inside its head is no answer',
    ),
)
