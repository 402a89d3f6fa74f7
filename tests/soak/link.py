"""A loopback proxy on the link between entry VMs and one target, which can be silent, slow, or cut in the middle of a message."""
import asyncio
import socket
import struct

BLOCK = 16384
TRICKLE_BLOCK, TRICKLE_S = 200, 0.005


def reset(writer):
    """Ends a connection so that the peer sees a reset."""
    it = writer.get_extra_info("socket")
    if it is not None and it.fileno() >= 0:
        it.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Link:
    """Forwards connections from `address` to `target`, which may stop and start meanwhile."""

    def __init__(self, address, target):
        self.address, self.target = address, target
        self.writers = set()
        self.silent = {}  # Until when nothing is forwarded, by direction: `to` the target or `from` it.
        self.trickles_until = 0.0
        self.cut_after = None  # Bytes of answers that pass before all connections are reset.

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        await asyncio.start_server(self.accept, host, int(port))

    async def accept(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        pair = {writer, target_writer}
        self.writers |= pair
        try:
            await asyncio.gather(self.forward(reader, target_writer, "to"), self.forward(target_reader, writer, "from"))
        finally:
            self.writers -= pair
            for it in pair:
                it.close()

    async def forward(self, reader, writer, direction):
        loop = asyncio.get_running_loop()
        try:
            while True:
                trickles = loop.time() < self.trickles_until
                data = await reader.read(TRICKLE_BLOCK if trickles else BLOCK)
                while loop.time() < self.silent.get(direction, 0.0):
                    await asyncio.sleep(0.02)
                if trickles:
                    await asyncio.sleep(TRICKLE_S)
                if direction == "from" and self.cut_after is not None:
                    data = self.count_down(data)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
                if self.cut_after == 0:
                    self.reset_all()
            # Passes the end on; asyncio ends the other direction with it.
            writer.close()
        except ConnectionError:
            reset(writer)

    def count_down(self, data):
        data = data[:self.cut_after]
        self.cut_after -= len(data)
        return data

    def reset_all(self):
        self.cut_after = None
        for it in list(self.writers):
            reset(it)
