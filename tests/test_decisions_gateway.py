"""Tests of single decisions of the gateway."""

import re
import time

import harness


def test_the_deadline_passed_on_is_what_remains():
    """Work past the caller's deadline would waste a slot of the server."""
    with harness.GatewayStack(harness.serve_hello) as proxy:
        ask_permit = proxy.admission.ask_permit
        proxy.admission.ask_permit = lambda *a: (
            time.sleep(0.3) or ask_permit(*a)
        )
        proxy.send_raw(b'GET /r/x HTTP/1.1\r\nX-Deadline-Ms: 1500')
        sent = re.search(rb'X-Deadline-Ms: (\d+)', proxy.server.received)
    assert 0 < int(sent[1]) <= 1200
