"""Simulates the network link between two VMs with a TCP proxy on loopback. A cut link behaves like a network partition:
its connections stay open and their data is held back, to be delivered when the link is healed."""

import socket
import threading

CHUNK = 65536


class Link:
    """Forwards connections from a port of its own to the port of a peer."""

    def __init__(self, host, to_port):
        self.to = (host, to_port)
        self.listener = socket.create_server((host, 0))
        self.port = self.listener.getsockname()[1]
        self.open = threading.Event()
        self.open.set()
        threading.Thread(target=self.accept, daemon=True).start()

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()

    def accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.connect, args=(near,), daemon=True).start()

    def connect(self, near):
        self.open.wait()
        try:
            far = socket.create_connection(self.to)
        except OSError:
            near.close()
            return
        for ends in ((near, far), (far, near)):
            ends[0].setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.forward, args=ends, daemon=True).start()

    def forward(self, source, sink):
        try:
            while data := source.recv(CHUNK):
                self.open.wait()
                sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        source.close()

    def close(self):
        self.listener.close()
        self.open.set()
