"""Mutations of configuration, requests, frames and the audit trail."""

from cranberryscale_bench import mutants


__all__ = ['MUTATIONS']


MUTATIONS = (
    mutants.Mutation(
        'tree-version-reversed',
        'cranberryscale/version/tree.py',
        'known and manifest.version <= known.version',
        'known and manifest.version > known.version',
        ('tree',),
        'versions only increase',
    ),
    mutants.Mutation(
        'tree-equal-version',
        'cranberryscale/version/tree.py',
        'known and manifest.version <= known.version',
        'known and manifest.version < known.version',
        ('tree',),
        'one version has one content',
    ),
    mutants.Mutation(
        'tree-partial-accepted',
        'cranberryscale/version/subtrees.py',
        'faults = list(_check_digests(manifest, unchecked))',
        'faults = []',
        ('tree',),
        'a subtree is accepted whole or not at all',
    ),
    mutants.Mutation(
        'confirm-stale-answer',
        'cranberryscale/process/dissemination.py',
        '        if not is_current:\n            return\n'
        '        reached_service',
        '        reached_service',
        ('spread',),
        'a stale answer of the service confirms nothing',
    ),
    mutants.Mutation(
        'confirm-stale-peer',
        'cranberryscale/process/dissemination.py',
        '        if not is_current:\n            return\n'
        '        self._tracker',
        '        self._tracker',
        ('spread',),
        'a peer with newer subtrees confirms nothing',
    ),
    mutants.Mutation(
        'confirm-from-arrival',
        'cranberryscale/process/dissemination.py',
        'record_confirmation(sent_at - age)',
        'record_confirmation(now - age)',
        ('spread',),
        'a confirmation counts from when the pull was sent',
    ),
    mutants.Mutation(
        'confirm-isolated-serves',
        'cranberryscale/process/confirmation.py',
        'if 1 + unconfirmed < view.count_quorum(members):',
        'if False:',
        ('spread',),
        'an isolated instance serves no keyed request',
    ),
    mutants.Mutation(
        'key-withdrawn-accepted',
        'cranberryscale/version/keys.py',
        'if found.withdrawn:',
        'if False:',
        ('keys',),
        'a withdrawn key is not accepted',
    ),
    mutants.Mutation(
        'request-unsafe-retry',
        'cranberryscale/request/request_state.py',
        'is_allowed = (is_server_fault or is_expired) and (\n'
        '                    not is_sent or self.is_repeatable\n'
        '                )',
        'is_allowed = is_server_fault or is_expired',
        ('flow',),
        'a non-idempotent request runs at most once',
    ),
    mutants.Mutation(
        'request-false-not-run',
        'cranberryscale/request/flow.py',
        'errors.UNKNOWN if event.is_sent else errors.NOT_RUN',
        'errors.NOT_RUN',
        ('flow',),
        'a refusal says "not run" only if nothing was sent',
    ),
    mutants.Mutation(
        'request-no-second-check',
        'cranberryscale/request/flow.py',
        '            state.authorize()\n            state.check',
        '            state.check',
        ('flow',),
        'key and route are checked again before forwarding',
    ),
    mutants.Mutation(
        'request-out-server-used',
        'cranberryscale/request/request_state.py',
        'if current.is_server_out(server):',
        'if False:',
        ('flow',),
        'a server taken out gets no new request',
    ),
    mutants.Mutation(
        'key-left-in-cookie',
        'cranberryscale/request/headers.py',
        'value = _strip_cookies(value, key)',
        'pass',
        ('headers',),
        "the key's cookie is removed, others stay",
    ),
    mutants.Mutation(
        'key-left-in-query',
        'cranberryscale/request/headers.py',
        "in the path')\n    stripped = _strip_query(query, key)",
        "in the path')\n    stripped = query",
        ('headers',),
        'no backend server sees the key',
    ),
    mutants.Mutation(
        'key-left-in-referer',
        'cranberryscale/request/headers.py',
        'value = _strip_referer(value, key)',
        'pass',
        ('headers',),
        'the key is removed from Referer',
    ),
    mutants.Mutation(
        'key-left-in-other-header',
        'cranberryscale/request/headers.py',
        'if value and not _contains_key(value, key):',
        'if value:',
        ('headers',),
        'no backend server sees the key',
    ),
    mutants.Mutation(
        'request-deadline-not-reduced',
        'cranberryscale/request/proxied_requests.py',
        'action.deadline - self._gateway.clock.read_elapsed()',
        'action.deadline - call.received',
        ('decisions_gateway',),
        'the deadline passed on is the remaining time',
    ),
    mutants.Mutation(
        'answer-crossed-accepted',
        'cranberryscale/connection/backends.py',
        'if echoed != self.head.request_id:',
        'if False:',
        ('backends',),
        'a caller gets the answer to its own request',
    ),
    mutants.Mutation(
        'answer-truncated-accepted',
        'cranberryscale/connection/http_framing.py',
        '        if not data:\n'
        '            raise errors.make_error(\n'
        "                self._codes.truncated, f'{self.remaining} "
        "bytes missing'\n"
        '            )',
        '        if not data:\n            self.remaining = 0',
        ('backends',),
        'a truncated response is never passed on as complete',
    ),
    mutants.Mutation(
        'frame-mac-ignored',
        'cranberryscale/connection/peer_frames.py',
        'if not hmac.compare_digest(frame.mac, self._sign(frame)):',
        'if False:',
        ('peers',),
        'a frame with a wrong MAC is refused',
    ),
    mutants.Mutation(
        'frame-replay-accepted',
        'cranberryscale/connection/peer_frames.py',
        'frame.counter <= oldest or frame.counter in recent',
        'False',
        ('peers',),
        'a replayed frame is refused',
    ),
    mutants.Mutation(
        'frame-target-ignored',
        'cranberryscale/connection/peer_frames.py',
        'if frame.target != self._name:',
        'if False:',
        ('peers',),
        'a call to another instance is refused',
    ),
    mutants.Mutation(
        'audit-digest-ignored',
        'cranberryscale/process/audit.py',
        "if record['digest'] != _compute_digest(record):",
        'if False:',
        ('records',),
        'an edited audit record is detected',
    ),
    mutants.Mutation(
        'audit-chain-ignored',
        'cranberryscale/process/audit.py',
        "if record['previous'] != previous_record['digest']:",
        'if False:',
        ('records',),
        'a replaced audit record is detected',
    ),
)
