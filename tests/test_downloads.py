"""Large responses: memory, slow callers and servers, breaks."""

import re
import threading
import time
import tracemalloc

import harness


HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
GET = b'GET /r/x HTTP/1.1'
SIZE = 8 * 1024 * 1024
BLOCK = b'x' * 65536
# Of one open download: the buffers of the server's and the caller's side, a
# prefetched part and the block in between have 64 KiB each.
DOWNLOAD_LIMIT_BYTES = 512 * 1024


def serve_download(server, sock, number):
    head = server.read_head(sock)
    if b'/r/small' in head:
        hello = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello'
        sock.sendall(harness.copy_request_id(head, hello))
        return
    sock.sendall(harness.copy_request_id(head, HEAD % SIZE))
    for _ in range(SIZE // len(BLOCK)):
        sock.sendall(BLOCK)


def test_slow_callers_hold_little_memory_and_no_other_caller():
    fields = {'timeout': 20 * harness.SECOND, 'sender_s': 20.0, 'threads': 8}
    with harness.GatewayStack(serve_download, **fields) as proxy:
        tracemalloc.start()
        slow = [proxy.connect() for _ in range(3)]
        for sock in slow:
            sock.sendall(
                GET
                + b'\r\nHost: h\r\nX-Api-Key: '
                + harness.KEY.encode()
                + b'\r\n\r\n'
            )
        time.sleep(0.5)
        began = time.monotonic()
        data = proxy.send_raw(b'GET /r/small HTTP/1.1')
        took_s = time.monotonic() - began
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        for sock in slow:
            sock.close()
    assert data.endswith(b'hello')
    assert took_s < 1
    assert peak < (len(slow) + 1) * DOWNLOAD_LIMIT_BYTES


def test_slow_server_that_makes_progress_is_not_given_up():
    """Only the deadline ends a response that has begun."""
    size, piece = 200_000, 20_000

    def serve(server, sock, number):
        head = server.read_head(sock)
        sock.sendall(harness.copy_request_id(head, HEAD % size))
        for _ in range(size // piece):
            time.sleep(0.1)
            sock.sendall(b'x' * piece)

    with harness.GatewayStack(serve, timeout=4 * harness.SECOND) as proxy:
        data = proxy.send_raw(GET)
        assert proxy.server.connections == 1
    assert len(data.partition(b'\r\n\r\n')[2]) == size


def serve_breaking_once(size, sent):
    """Return a serve function whose first response ends too early."""

    def serve(server, sock, number):
        head = server.read_head(sock)
        sock.sendall(harness.copy_request_id(head, HEAD % size))
        sock.sendall(b'x' * (sent if number == 1 else size))

    return serve


def test_download_is_repeated_while_no_byte_was_delivered():
    with harness.GatewayStack(serve_breaking_once(60_000, 59_999)) as proxy:
        data = proxy.send_raw(GET)
        assert proxy.server.connections == 2
    assert len(data.partition(b'\r\n\r\n')[2]) == 60_000


def test_download_that_breaks_after_its_first_bytes_is_not_repeated():
    with harness.GatewayStack(serve_breaking_once(400_000, 300_000)) as proxy:
        data = proxy.send_raw(GET)
        assert proxy.server.connections == 1
    assert re.match(rb'HTTP/1.1 200 ', data)
    assert data.endswith(b'<reset>')
    assert len(data) < 400_000


def test_downloads_share_the_instance_with_small_requests():
    """Each of several downloads at a time arrives whole."""
    size = 540_000

    def serve(server, sock, number):
        while head := server.read_head(sock):
            sock.sendall(harness.copy_request_id(head, HEAD % size))
            sock.sendall(b'x' * size)

    lengths = []

    def download():
        for _ in range(5):
            data = proxy.send_raw(GET)
            lengths.append(len(data.partition(b'\r\n\r\n')[2]))

    with harness.GatewayStack(serve, timeout=9 * harness.SECOND) as proxy:
        callers = [threading.Thread(target=download) for _ in range(4)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
    assert lengths == [size] * 20
