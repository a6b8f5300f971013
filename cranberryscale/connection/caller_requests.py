"""Requests of callers: cheroot with strict parsing and one deadline.

cheroot 11.1.2 accepts: repeated Host and Content-Length (the last one wins),
signed Content-Length and chunk sizes, Transfer-Encoding in HTTP/1.0
(ignored), "chunked" twice, folded lines, control characters, chunk trailers
(left in the connection as the next request) and unread chunked bodies
(likewise). It also bounds each read but not the whole request.
"""

import contextlib
import datetime
import re
import select
import urllib.parse
import uuid

from cheroot import server as cheroot_server

from cranberryscale.connection import deadline_socket
from cranberryscale.connection import error_responses
from cranberryscale.connection import http_framing
from cranberryscale import errors


__all__ = ['CallerBody', 'CallerRequest']

REFUSAL_TIMEOUT = datetime.timedelta(seconds=0.1)
# Memory of a field beside its bytes: as a pair, in the dictionary of headers,
# as a WSGI variable and as a header to forward.
FIELD_BYTES = 450
# Copies of the bytes of a head that exist at a time.
HEAD_COPIES = 4
_TARGET = re.compile(rb'[!-~]+')
_METHOD = re.compile(rb'[A-Z][A-Z_-]{0,31}')
_VERSIONS = (b'HTTP/1.0', b'HTTP/1.1')
# Error codes for the statuses by which cheroot refuses requests.
_CODES_BY_STATUS = {
    '408': 'request_timeout',
    '413': 'headers_too_large',
    '414': 'uri_too_long',
    '500': 'internal',
}


class _Headers(dict):
    """Header dictionary of cheroot, with the header lines as received."""

    pairs: http_framing.HeaderPairs = ()
    framing = http_framing.Framing(0, False)

    def add_pairs(self, pairs: http_framing.HeaderPairs) -> None:
        """Add header lines; lines of the same name are joined."""
        self.pairs = pairs
        repeated: dict[bytes, list[bytes]] = {}
        for name, value in pairs:
            # X_A and X-A would become the same WSGI variable.
            if '_' in name:
                continue
            key, data = name.title().encode(), value.encode('latin-1')
            if key in self:
                repeated.setdefault(key, [self[key]]).append(data)
            else:
                self[key] = data
        for key, values in repeated.items():
            self[key] = b', '.join(values)


class CallerBody(http_framing.EmptyBody):
    """Body of a caller's request; sends 100 Continue if it is expected.

    Reading raises RequestError, or deadline_socket.OtherReady if the watched
    socket is ready.
    """

    def __init__(
        self,
        request: 'CallerRequest',
        body: http_framing.EmptyBody,
        expects_continue: bool,
    ):
        self._request = request
        self._body = body
        self._expects_continue = expects_continue

    @property
    def finished(self) -> bool:
        """Return whether the whole body was read."""
        return self._body.finished

    def read_some(self) -> bytes:
        """Return the next bytes, b'' at the end."""
        try:
            if self._expects_continue and not self.finished:
                self._expects_continue = False
                self._request.conn.wfile.write(
                    b'HTTP/1.1 100 Continue\r\n\r\n'
                )
                self._request.conn.wfile.flush()
            return self._body.read_some()
        except deadline_socket.DeadlinePassed as error:
            raise errors.make_error('request_timeout') from error
        except deadline_socket.OtherReady:
            raise
        except OSError as error:
            raise errors.make_error('caller_gone') from error

    def watch(self, other: int) -> None:
        """Make reads raise OtherReady once the other socket is readable."""
        self._request.conn.wrapped_socket.watch(other, select.POLLIN)

    def stop_watching(self) -> None:
        """Stop watching the other socket."""
        self._request.conn.wrapped_socket.stop_watching()

    def read(self, size: int = -1) -> bytes:
        """Return the whole body, or its next bytes for a positive `size`."""
        if size >= 0:
            return self.read_some() if size else b''
        return b''.join(iter(self.read_some, b''))


class CallerRequest(cheroot_server.HTTPRequest):
    """Strictly parsed request of a caller."""

    requires_host = True

    def __init__(self, server, conn):
        super().__init__(server, conn, proxy_mode=True, strict_mode=True)
        self.inheaders = _Headers()
        self.request_id = uuid.uuid4().hex
        self.request_protocol = b'HTTP/1.1'
        # Whether the caller announced that it sends nothing further.
        self._is_last = False
        # The request may have waited for a thread since then.
        self.received = conn.received

    @property
    def pairs(self) -> http_framing.HeaderPairs:
        """Return the header lines as received."""
        return self.inheaders.pairs

    def parse_request(self) -> None:
        """Parse the request up to its body, or respond with a typed error."""
        now = self.server.clock.read_elapsed()
        deadline = now + self.server.sender_timeout
        self.conn.wrapped_socket.start_exchange(deadline)
        try:
            super().parse_request()
        except errors.FleetError as error:
            self.refuse(error)
        except deadline_socket.DeadlinePassed:
            if self.conn.wrapped_socket.received_bytes:
                self.refuse(errors.make_error('request_timeout'))
        except OSError:
            pass

    def read_request_line(self) -> bool:
        """Parse the request line; refuse ambiguous forms of it."""
        if not super().read_request_line():
            return False
        if self.request_protocol not in _VERSIONS:
            raise errors.make_error('bad_request', 'protocol version')
        if not _METHOD.fullmatch(self.method) or self.method == b'CONNECT':
            raise errors.make_error('bad_request', 'method')
        # A server may parse //a/b as the authority a and the path /b.
        is_ambiguous = self.uri == b'*' or self.uri.startswith(b'//')
        if is_ambiguous or not _TARGET.fullmatch(self.uri):
            raise errors.make_error('bad_request', 'request target')
        return True

    def read_request_headers(self) -> bool:
        """Read the headers and determine the body framing."""
        is_11 = self.request_protocol == b'HTTP/1.1'
        self.inheaders.add_pairs(
            http_framing.read_header_pairs(self.rfile, self._charge_fields)
        )
        self.inheaders.framing = http_framing.check_request_framing(
            self.pairs, is_11, self.requires_host
        )
        self.chunked_read = self.inheaders.framing.chunked
        if self.inheaders.framing.length > self.server.body_limit_bytes:
            raise errors.make_error(
                'body_too_large', self.server.body_limit_bytes
            )
        if not self.uri.startswith(b'/'):
            self._check_absolute_form()
        options = self.inheaders.get(b'Connection', b'').lower()
        options = {option.strip() for option in options.split(b',')}
        self._is_last = self.close_connection = b'close' in options or (
            not is_11 and b'keep-alive' not in options
        )
        return True

    def _charge_fields(self, count: int, size: int) -> None:
        self.server.account.charge(
            self.conn, count * FIELD_BYTES + size * HEAD_COPIES
        )

    def _check_absolute_form(self) -> None:
        parts = urllib.parse.urlsplit(self.uri)
        hosts = http_framing.find_header_values(self.pairs, 'host')
        authority = parts.netloc.decode('latin-1').lower()
        if parts.scheme != b'http' or [h.lower() for h in hosts] != [
            authority
        ]:
            raise errors.make_error(
                'bad_request', 'the request target differs from Host'
            )
        path = parts.path or b'/'
        self.uri = path + (b'?' + parts.query if parts.query else b'')
        self.path = urllib.parse.unquote_to_bytes(path)

    def _open_body(self) -> CallerBody:
        body_framing = self.inheaders.framing
        codes = http_framing.CALLER_CODES
        expects_continue = (
            self.inheaders.get(b'Expect', b'').lower() == b'100-continue'
        )
        if body_framing.chunked:
            limit = self.server.body_limit_bytes
            body = http_framing.ChunkedBody(self.conn.rfile, limit, codes)
        elif body_framing.length:
            body = http_framing.LengthBody(
                self.conn.rfile, body_framing.length, codes
            )
        else:
            body = http_framing.EmptyBody()
        return CallerBody(self, body, expects_continue)

    def respond(self) -> None:
        """Call the gateway and write its response."""
        self.rfile = self._open_body()
        try:
            self.server.gateway(self).respond()
            self.ensure_headers_sent()
            if self.chunked_write:
                self.conn.wfile.write(b'0\r\n\r\n')
            self.conn.wfile.flush()
        except OSError:
            # The caller disconnected, or the response was aborted on purpose.
            self.close_connection = True
        # A caller that does not know of the close may send further requests.
        self.conn.may_receive_more = not self.rfile.finished or (
            self.close_connection and not self._is_last
        )
        # The body refers to this request. Without this cycle the head is freed
        # now, and not by the next full run of the garbage collector.
        self.rfile, self.inheaders = self.conn.rfile, _Headers()

    def send_headers(self) -> None:
        """Write status and headers; close the connection after unread bodies.

        The start of the next request is unknown if the body was not read.
        """
        if not self.rfile.finished:
            self.close_connection = True
        super().send_headers()

    def refuse(
        self,
        error: errors.FleetError,
        timeout: datetime.timedelta = REFUSAL_TIMEOUT,
    ) -> None:
        """Respond with a typed error and close the connection.

        The response is cut off if the caller does not read it in time.
        """
        error_response = error_responses.make_error_response(
            error, self.request_id
        )
        lines = [f'HTTP/1.1 {error_response.status}', 'Connection: close']
        lines += [f'{name}: {value}' for name, value in error_response.headers]
        head = '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n'
        sock = self.conn.wrapped_socket
        sock.set_deadline(self.server.clock.read_elapsed() + timeout)
        self.conn.may_receive_more = True
        self.close_connection = self.sent_headers = True
        with contextlib.suppress(OSError):
            self.conn.wfile.write(head + error_response.body)
            self.conn.wfile.flush()

    def simple_response(self, status, msg='') -> None:
        """Replace cheroot's own error responses by typed errors."""
        code = _CODES_BY_STATUS.get(str(status)[:3], 'bad_request')
        self.refuse(errors.make_error(code))
