"""Tests of connections between daemons."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING

from daemon_settings import daemon_settings
from fake_service import kernel_of
from gypsumvane_core.messages import Heartbeat
from gypsumvane_core.messages import HeartbeatReply
from gypsumvane_core.messages import Hello
from gypsumvane_core.messages import PartialBatch
from gypsumvane_core.messages import PartialResult
from gypsumvane_core.messages import PartialResults
from gypsumvane_daemon.addresses import split_address
from gypsumvane_daemon.identity import DaemonIdentity
from gypsumvane_daemon.metrics import MetricsService
from gypsumvane_daemon.peer_codec import LENGTH_BYTES
from gypsumvane_daemon.peer_codec import Frame
from gypsumvane_daemon.peer_codec import decode_frame
from gypsumvane_daemon.peer_codec import encode_frame
from gypsumvane_daemon.peer_network import PeerError
from gypsumvane_daemon.peer_network import PeerNetwork
from tls_files import CertificateAuthority
from waiting import wait_until

if TYPE_CHECKING:
    from gypsumvane_daemon.kernel import Kernel
    from gypsumvane_daemon.peer_network import PeerContext
    from gypsumvane_daemon.settings import TlsSettings


def make_identity(
    vm_id: str, cluster: str = "test", tls: TlsSettings | None = None
) -> DaemonIdentity:
    """Build the identity of a daemon that listens on free ports."""
    settings = daemon_settings(vm_id, vm={"cluster": cluster}, peers={"tls": tls})
    return DaemonIdentity(settings=settings)


class PeerNetworkTest(unittest.IsolatedAsyncioTestCase):
    """Check requests, streams and lost connections."""

    async def asyncSetUp(self) -> None:
        """Start the networks of two daemons and connect them."""
        self.kernels: list[Kernel] = []
        self.first = await self.start("vm-1")
        self.second = await self.start("vm-2")
        await self.first.set_peers({"vm-2": self.second.identity.peer_address})
        await wait_until(lambda: self.first.hello_of("vm-2"))

    async def asyncTearDown(self) -> None:
        """Stop all networks."""
        for kernel in self.kernels:
            await kernel.stop()

    async def start(
        self, vm_id: str, cluster: str = "test", tls: TlsSettings | None = None
    ) -> PeerNetwork:
        """Start the network of one daemon."""
        network = PeerNetwork(make_identity(vm_id, cluster, tls))
        kernel = kernel_of(MetricsService(), network)
        await kernel.start()
        self.kernels.append(kernel)
        return network

    async def test_stream_ends_with_the_final_reply(self) -> None:
        """Guard against results that are lost or counted twice."""

        async def handle(batch: PartialBatch, context: PeerContext) -> PartialResults:
            results = [PartialResult(query_id=batch.query_id, attempt_id=1)]
            context.reply(PartialResults(results=results), final=False)
            return PartialResults()

        self.second.register(PartialBatch, handle)
        stream = self.first.stream("vm-2", PartialBatch(query_id="q"))
        replies = [reply async for reply in stream]
        self.assertEqual([len(reply.results) for reply in replies], [1, 0])

    async def test_heartbeats_are_complete_on_every_connection(self) -> None:
        """Guard against a fact that is omitted after a reconnect."""
        received: list[Heartbeat] = []

        async def handle(heartbeat: Heartbeat, _: PeerContext) -> HeartbeatReply:
            received.append(heartbeat)
            return HeartbeatReply(epoch=2, incarnation="second", gone=["x"])

        self.second.register(Heartbeat, handle)
        heartbeat = Heartbeat(epoch=1, incarnation="first", gone=["y"])
        for _ in range(2):
            for _ in range(3):
                reply = await self.first.request("vm-2", heartbeat, timeout_s=5)
                self.assertEqual(reply.gone, ["x"])
                self.assertEqual(reply.incarnation, "second")
            self.first.reset("vm-2")
            while self.first.hello_of("vm-2") is not None:
                await asyncio.sleep(0.01)
            await wait_until(lambda: self.first.hello_of("vm-2"))
        self.assertEqual(received, [heartbeat] * 6)

    async def test_young_connection_is_not_reset(self) -> None:
        """Guard against a slow peer that loses each new connection."""

        async def handle(_: Heartbeat, __: PeerContext) -> HeartbeatReply:
            self.first.reset("vm-2", min_age_s=60)
            return HeartbeatReply()

        self.second.register(Heartbeat, handle)
        await self.first.request("vm-2", Heartbeat(), timeout_s=5)
        self.first.reset("vm-2")
        await wait_until(lambda: self.first.hello_of("vm-2") is None)

    async def test_peer_of_the_first_version_gets_plain_heartbeats(self) -> None:
        """Guard against a fleet that splits during a rolling upgrade."""

        async def handle(heartbeat: Heartbeat, _: PeerContext) -> HeartbeatReply:
            return HeartbeatReply(epoch=heartbeat.epoch, incarnation="second")

        self.second.register(Heartbeat, handle)
        host, port = split_address(self.second.identity.peer_address)
        reader, writer = await asyncio.open_connection(host, port)
        self.addCleanup(writer.close)

        async def read_plain() -> Frame:
            length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "little")
            return decode_frame(await reader.readexactly(length))

        hello = Hello(vm_id="vm-9", cluster="test", protocol_version=1)
        writer.write(encode_frame(Frame(body=hello)))
        self.assertIsInstance((await read_plain()).body, Hello)
        for _ in range(2):
            writer.write(encode_frame(Frame(body=Heartbeat(epoch=4), request_id=1)))
            reply = (await read_plain()).body
            self.assertEqual(reply, HeartbeatReply(epoch=4, incarnation="second"))

    async def test_unknown_peer_is_reported_as_not_sent(self) -> None:
        """Guard against an unsent request that is reported as sent."""
        with self.assertRaises(PeerError) as caught:
            await self.first.request("vm-9", PartialBatch(), timeout_s=1)
        self.assertFalse(caught.exception.sent)

    async def test_lost_connection_ends_open_requests_as_sent(self) -> None:
        """Guard against callers that wait for a peer that has stopped."""
        received = asyncio.Event()

        async def handle(batch: PartialBatch, context: PeerContext) -> None:
            received.set()

        self.second.register(PartialBatch, handle)
        request = asyncio.create_task(
            self.first.request("vm-2", PartialBatch(), timeout_s=30)
        )
        await received.wait()
        await self.second.stop()
        with self.assertRaises(PeerError) as caught:
            await request
        self.assertTrue(caught.exception.sent)

    async def test_peer_of_another_cluster_is_refused(self) -> None:
        """Guard against two fleets that connect because of a wrong address."""
        other = await self.start("vm-3", cluster="other")
        await self.first.set_peers({"vm-3": other.identity.peer_address})
        while not other.metrics.value("peer_frame_errors", side="listener"):
            await asyncio.sleep(0.01)
        self.assertIsNone(self.first.hello_of("vm-3"))

    async def test_peers_need_a_certificate_of_the_same_authority(self) -> None:
        """Guard against connections to unauthenticated peers with TLS configured."""
        authority = CertificateAuthority(self)
        third = await self.start("vm-3", tls=authority.issue())
        fourth = await self.start("vm-4", tls=authority.issue())
        stranger = await self.start("vm-5", tls=CertificateAuthority(self).issue())
        address = third.identity.peer_address
        for network in (fourth, stranger, self.first):
            await network.set_peers({"vm-3": address})
        await wait_until(lambda: fourth.hello_of("vm-3"))
        for network in (stranger, self.first):
            with self.assertRaises(PeerError):
                await network.request("vm-3", PartialBatch(), timeout_s=1)
            self.assertIsNone(network.hello_of("vm-3"))
