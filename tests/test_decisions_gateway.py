"""Guard single decisions of the gateway."""

import re
import time

import harness


def test_the_deadline_passed_on_is_what_remains():
    """A server that works past the caller's deadline wastes its slot."""
    with harness.GatewayStack(harness.serve_hello) as made:
        ask_permit = made.admission.ask_permit
        made.admission.ask_permit = lambda *a: (
            time.sleep(0.3) or ask_permit(*a)
        )
        made.send_raw(b'GET /r/x HTTP/1.1\r\nX-Deadline-Ms: 1500')
        sent = re.search(rb'X-Deadline-Ms: (\d+)', made.server.received)
    assert 0 < int(sent[1]) <= 1200
