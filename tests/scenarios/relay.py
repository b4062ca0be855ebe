"""A TCP relay that tests put before a process: it can go silent without closing, or cut."""

import asyncio


class Relay:
    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.cut = False
        self.pipes = []
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
        pipe = {"silent": False, "writers": (writer, up_writer)}
        self.pipes.append(pipe)
        try:
            await asyncio.gather(
                self._copy(pipe, reader, up_writer), self._copy(pipe, up_reader, writer))
        except asyncio.CancelledError:
            pass  # The scenario is over.
        self.pipes.remove(pipe)

    async def _copy(self, pipe, reader, writer):
        try:
            while data := await reader.read(65536):
                if pipe["silent"]:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        if not pipe["silent"]:
            writer.transport.abort()

    def silence(self):
        """Open connections pass nothing any more and stay open; new ones work."""
        for pipe in list(self.pipes):
            pipe["silent"] = True

    def cut_off(self):
        """Nothing passes, and new connections fail."""
        self.cut = True
        self.silence()

    def heal(self):
        self.cut = False

    def close(self):
        if self.server:
            self.server.close()
        for pipe in list(self.pipes):
            for writer in pipe["writers"]:
                writer.transport.abort()
