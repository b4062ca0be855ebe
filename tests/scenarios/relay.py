"""TCP relay in front of a process under test. It can stop forwarding without closing connections and refuse new
ones."""

import asyncio


class Relay:
    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.cut = False
        self.connections = []
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._accept, *self.listen)

    async def _accept(self, reader, writer):
        if self.cut:
            writer.transport.abort()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        connection = {"silent": False, "writers": (writer, up_writer)}
        self.connections.append(connection)
        try:
            await asyncio.gather(
                self._forward(connection, reader, up_writer), self._forward(connection, up_reader, writer))
        except asyncio.CancelledError:
            pass  # Cancelled at the end of the scenario.
        self.connections.remove(connection)

    async def _forward(self, connection, reader, writer):
        try:
            while data := await reader.read(65536):
                if connection["silent"]:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        if not connection["silent"]:
            writer.transport.abort()

    def silence(self):
        """Stops forwarding on all open connections and leaves them open. New connections work."""
        for connection in list(self.connections):
            connection["silent"] = True

    def cut_off(self):
        """Stops forwarding on all open connections, and resets new ones."""
        self.cut = True
        self.silence()

    def heal(self):
        self.cut = False

    def close(self):
        if self.server:
            self.server.close()
        for connection in list(self.connections):
            for writer in connection["writers"]:
                writer.transport.abort()
