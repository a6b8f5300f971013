"""Tests for the start of the program on the users' platform."""

import socket
import subprocess
import sys

from standins import machines


_LIST_MODULES = """
import sys

from cranberryscale.platform import program

print(' '.join(sys.modules))
"""


def test_the_program_loads_no_cherrypy():
    """Its import took a quarter of the processor time of a start."""
    listed = subprocess.run(
        [sys.executable, '-c', _LIST_MODULES],
        capture_output=True,
        check=True,
        text=True,
    )
    assert 'cheroot.wsgi' in listed.stdout.split()
    assert 'cherrypy' not in listed.stdout.split()


def test_a_port_in_use_ends_the_start_with_a_typed_error(tmp_path):
    store = machines.KeyValueStoreServer()
    instance = machines.Instance(0, tmp_path, store.address)
    host, port = instance.addresses['operators'].split(':')
    with socket.create_server((host, int(port))):
        instance.start([])
        assert instance.wait() == 1
    line = next(
        line
        for line in instance.log_path.read_text().splitlines()
        if 'event=start_failed' in line
    )
    assert 'settings_invalid' in line
    assert port in line
    store.close()
