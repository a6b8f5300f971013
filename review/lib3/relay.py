"""A relay before each machine's address for other machines.

A machine that is cut off keeps its links to clients, upstreams and the store;
what it and the other machines send each other is held up until the cut ends.
"""

import asyncio
import os
import pathlib
import threading
import time

CHUNK_BYTES = 65536
ATTEMPTS, ATTEMPT_GAP_S = 40, 0.05
# Fields of lines of /proc/net/tcp: local address, remote address and inode.
LOCAL, REMOTE, INODE = 1, 2, 9
V4, V6 = '0100007F', '0000000000000000FFFF00000100007F'


def _find_inode(local_port, remote_port):
    # gRPC uses IPv6 sockets also for IPv4 addresses.
    for table, host in (('tcp', V4), ('tcp6', V6)):
        wanted = (f'{host}:{local_port:04X}', f'{host}:{remote_port:04X}')
        for line in pathlib.Path(f'/proc/net/{table}').read_text().splitlines()[1:]:
            fields = line.split()
            if (fields[LOCAL], fields[REMOTE]) == wanted:
                return fields[INODE]
    return None


def find_owner(pids, local_port, remote_port):
    """Return which of these processes has the connection's near end."""
    inode = _find_inode(local_port, remote_port)
    for pid in pids:
        folder = f'/proc/{pid}/fd'
        try:
            for name in os.listdir(folder):
                if os.readlink(f'{folder}/{name}') == f'socket:[{inode}]':
                    return pid
        except OSError:
            continue
    return None


class Relays:
    """Relays of all machines, which share a set of cut off machines."""

    def __init__(self):
        self.cut, self.pids, self.unknown, self.pending = set(), {}, 0, 0
        self.searching = asyncio.Semaphore(1)
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def open(self, machine, port):
        asyncio.run_coroutine_threadsafe(
            asyncio.start_server(lambda r, w: self._accept(machine, r, w), '127.0.0.1', port),
            self.loop).result(5)

    def is_cut(self, one, other):
        return one in self.cut or other in self.cut

    async def _identify(self, pair, writer):
        # Looked up one at a time, since a search reads all sockets.
        port = writer.get_extra_info('peername')[1]
        own = writer.get_extra_info('sockname')[1]
        self.pending += 1
        try:
            async with self.searching:
                pids = dict(self.pids)
                pid = await self.loop.run_in_executor(None, find_owner, list(pids), port, own)
            pair[0] = pids.get(pid)
            self.unknown += pid is None
        finally:
            self.pending -= 1

    async def _accept(self, machine, reader, writer):
        pair = [None, machine.label]
        search = self.loop.create_task(self._identify(pair, writer))
        try:
            if self.cut:
                await search
            while self.is_cut(*pair):
                await asyncio.sleep(0.05)
            to_reader, to_writer = await self._connect(machine)
        except OSError:
            writer.close()
            return
        try:
            await asyncio.gather(self._copy(pair, reader, to_writer),
                                 self._copy(pair, to_reader, writer))
        except OSError:
            pass
        finally:
            writer.close()
            to_writer.close()

    async def _connect(self, machine):
        # A machine that has just been started doesn't listen yet; the relay
        # has taken the connection and can't refuse it any more.
        host, port = machine.addresses['peers'].split(':')
        for _ in range(ATTEMPTS):
            try:
                return await asyncio.open_connection(host, port)
            except ConnectionRefusedError:
                await asyncio.sleep(ATTEMPT_GAP_S)
        return await asyncio.open_connection(host, port)

    async def _copy(self, pair, reader, writer):
        while data := await reader.read(CHUNK_BYTES):
            while self.is_cut(*pair):
                await asyncio.sleep(0.05)
            writer.write(data)
            await writer.drain()
        while self.is_cut(*pair):
            await asyncio.sleep(0.05)
        writer.close()


def cut_off(relays, labels, for_s):
    """Cut machines off from all other machines for a time."""
    until = time.monotonic() + 1
    while relays.pending and time.monotonic() < until:
        time.sleep(0.01)
    relays.cut = set(labels)
    time.sleep(for_s)
    relays.cut = set()
