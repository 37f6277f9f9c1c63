"""Proxies on the addresses of the control replicas, which cut the links between them."""

import asyncio
import os


def owner_of_port(port, address, processes):
    """Name of the process of ours whose socket is connected from `port` to `address`."""
    ip, remote_port = address
    remote = "".join(f"{int(part):02X}" for part in reversed(ip.split("."))) + f":{remote_port:04X}"
    inode = None
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table:
            fields = line.split()
            if fields[1].endswith(f":{port:04X}") and fields[2] == remote:
                inode = fields[9]
    for name, process in processes.items():
        folder = f"/proc/{process.pid}/fd"
        try:
            for fd in os.listdir(folder):
                if inode and os.readlink(f"{folder}/{fd}") == f"socket:[{inode}]":
                    return name
        except OSError:
            continue
    return None


class Link:
    """One connection to a replica through its proxy."""

    def __init__(self, source, target):
        self.source, self.target = source, target


class Links:
    """Passes bytes on, but holds those between a replica that is cut off and the other replicas.

    As on a network, what was sent before the connection was closed arrives when the cut heals. A
    connection that was opened during the cut never carries a byte.
    """

    def __init__(self, deployment, record, port):
        self.deployment, self.record, self.port = deployment, record, port
        self.cut_off = None
        self.healed = asyncio.Event()
        self.healed.set()

    async def start(self):
        for index, zone in enumerate(self.deployment.cores):
            await asyncio.start_server(
                lambda r, w, i=index, z=zone: self.serve(r, w, i, f"core-{z}"),
                self.deployment.core_ip(index), self.port)

    def is_cut(self, link):
        between_cores = (link.source or "").startswith("core-")
        return self.cut_off is not None and between_cores and self.cut_off in (link.source, link.target)

    def cut(self, name):
        self.record(f"{name} is partitioned from the other core machines")
        self.cut_off = name
        self.healed.clear()

    def heal(self):
        self.record(f"{self.cut_off} is joined again")
        self.cut_off = None
        self.healed.set()

    async def serve(self, reader, writer, index, target):
        own = writer.get_extra_info("sockname")
        peer = writer.get_extra_info("peername")
        link = Link(owner_of_port(peer[1], own, self.deployment.processes), target)
        if self.is_cut(link):
            await self.healed.wait()
            writer.close()
            return
        try:
            to_reader, to_writer = await asyncio.open_connection(
                self.deployment.core_rpc_ip(index), self.port)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.pass_on(link, reader, to_writer), self.pass_on(link, to_reader, writer))

    async def pass_on(self, link, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                while self.is_cut(link):
                    await self.healed.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
