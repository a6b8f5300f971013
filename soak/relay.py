"""A TCP relay on loopback that injects faults into connections."""

import asyncio
import enum
import threading


__all__ = ['Relay', 'RelayMode']

CHUNK_BYTES = 16384
DELAY_S = 0.15


class RelayMode(enum.Enum):
    """What a relay does with bytes and connections."""

    OPEN = 'open'
    DELAY = 'delay'
    # Open connections are reset once; new ones work.
    RESET = 'reset'
    # Requests pass, responses are lost.
    ONE_WAY = 'one_way'
    # Bytes are lost in both directions; connections stay open.
    SILENT = 'silent'
    # Bytes on connections open now are lost for good; new ones work.
    STALE = 'stale'


class _RelayedConnection:
    """A connection from a client and the one to the target for it."""

    def __init__(self, relay: 'Relay'):
        self.relay = relay
        self.is_stale = False
        self.writers: list[asyncio.StreamWriter] = []

    async def copy_both_ways(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.append(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self.relay.target
            )
            self.writers.append(target_writer)
            await asyncio.gather(
                self._copy(reader, target_writer, False),
                self._copy(target_reader, writer, True),
            )
        except OSError:
            # One end closed or reset its connection; the other is closed too.
            pass
        finally:
            for open_writer in self.writers:
                open_writer.close()
            self.relay.connections.discard(self)

    async def _copy(self, reader, writer, is_response: bool) -> None:
        while data := await reader.read(CHUNK_BYTES):
            match self.relay.mode:
                case RelayMode.DELAY:
                    await asyncio.sleep(DELAY_S)
                case RelayMode.SILENT:
                    continue
                case RelayMode.ONE_WAY if is_response:
                    continue
            if not self.is_stale:
                writer.write(data)
                await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()

    def reset(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class Relay:
    """A listener that forwards connections to the target at `address`.

    All relays share one event loop in a background thread.
    """

    _loop: asyncio.AbstractEventLoop | None = None

    def __init__(self, address: str):
        host, _, port = address.rpartition(':')
        self.target = (host, int(port))
        self.mode = RelayMode.OPEN
        self.connections: set[_RelayedConnection] = set()
        self._server = self._call(
            asyncio.start_server(self._accept, '127.0.0.1', 0)
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    @classmethod
    def _call(cls, coroutine):
        if cls._loop is None:
            cls._loop = asyncio.new_event_loop()
            threading.Thread(target=cls._loop.run_forever, daemon=True).start()
        return asyncio.run_coroutine_threadsafe(coroutine, cls._loop).result(5)

    async def _accept(self, reader, writer) -> None:
        connection = _RelayedConnection(self)
        self.connections.add(connection)
        await connection.copy_both_ways(reader, writer)

    def set_mode(self, mode: RelayMode) -> None:
        """Change the mode, for open and new connections."""
        self._call(self._set_mode(mode))

    async def _set_mode(self, mode: RelayMode) -> None:
        self.mode = mode
        for connection in tuple(self.connections):
            if mode is RelayMode.RESET:
                connection.reset()
            connection.is_stale = (
                connection.is_stale or mode is RelayMode.STALE
            )

    def close(self) -> None:
        """Stop listening and reset all open connections."""
        self._call(self._close())

    async def _close(self) -> None:
        self._server.close()
        for connection in tuple(self.connections):
            connection.reset()
