"""Guard callers against copies of refusals; see docs/reports.md."""

import time

import harness
import pytest
import test_faulty_servers

from standins import machines


# Statuses that promise that a request has not run and never will.
PROMISES = {408, 421, 429, 503}
REQUEST_IDS = test_faulty_servers.REQUEST_IDS


class RefusingServer:
    """A server that writes its refusals once more before later answers.

    It refuses the first request on every other connection and closes the
    others. `runs` counts the requests that it ran.
    """

    def __init__(self):
        self.runs = self.copies = 0
        self._server = harness.FakeServer(self._serve)
        self.address = self._server.address

    def _serve(self, server, sock, number):
        refusal = b''
        while head := server.read_head(sock):
            if number % 2 and not refusal:
                refusal = harness.copy_request_id(
                    head,
                    b'HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n'
                    b'Keep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n',
                )
                sock.sendall(refusal)
                continue
            self.runs += 1
            if refusal:
                self.copies += 1
                sock.sendall(refusal)
                time.sleep(0.01)
            answer = (
                test_faulty_servers.SEALED_HEAD
                + b'Content-Length: 2\r\n\r\nok'
            )
            sock.sendall(harness.copy_request_id(head, answer))
            if not refusal:
                return


@pytest.mark.parametrize('has_own_ids', [True, False])
def test_copy_of_a_refusal_denies_no_request_that_runs(tmp_path, has_own_ids):
    """Guards against an earlier refusal, written again on its connection.

    Copies carry the id of the refused request, which a caller may use again
    for its next attempt.
    """
    server = RefusingServer()
    with machines.FleetEnvironment(tmp_path, instances=1) as fleet:
        test_faulty_servers.replace_servers(fleet, 'y', server)
        time.sleep(1.5)
        (instance,) = fleet.instances
        statuses = []
        for _ in range(60):
            request_id = next(REQUEST_IDS) if has_own_ids else 'same'
            runs = server.runs
            status, _, _ = machines.send_request(
                instance.addresses['callers'],
                '/book/1',
                request_id,
                test_faulty_servers.KEY,
                'POST',
            )
            statuses.append(status)
            time.sleep(0.03)
            assert server.runs - runs <= 1
            if status in PROMISES:
                assert server.runs == runs
    assert statuses.count(200) > 10
    assert PROMISES.intersection(statuses)
    if has_own_ids:
        assert server.copies > 5
