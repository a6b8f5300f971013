"""A stand-in backend server that answers every request with JSON."""

import argparse
import http.server
import json


__all__ = ['main', 'make_server']


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    name = ''

    def _answer(self):
        length = int(self.headers.get('Content-Length', 0))
        self.rfile.read(length)
        payload = json.dumps(
            {
                'server': self.name,
                'path': self.path,
                'headers': {k.lower(): v for k, v in self.headers.items()},
            }
        ).encode()
        self.send_response(200)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(payload)))
        self.end_headers()
        self.wfile.write(payload)

    do_GET = do_POST = do_PUT = do_DELETE = _answer

    def log_message(self, format, *args):
        """Keep the test output free of access lines."""


def make_server(name: str, port: int) -> http.server.ThreadingHTTPServer:
    """Return a backend server on loopback."""
    handler = type('Handler', (_Handler,), {'name': name})
    server = http.server.ThreadingHTTPServer(('127.0.0.1', port), handler)
    server.daemon_threads = True
    return server


def main() -> None:
    """Serve until ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--name', required=True)
    parser.add_argument('--port', type=int, required=True)
    options = parser.parse_args()
    make_server(options.name, options.port).serve_forever()


if __name__ == '__main__':
    main()
