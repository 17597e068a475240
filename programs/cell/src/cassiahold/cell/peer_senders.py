"""Sends the consensus messages of a replica to the other replicas."""

import threading

from cassiahold.agreement.membership_planner import replica_address
from cassiahold.agreement.messages import Envelope
from cassiahold.cell import requests
from cassiahold.wire.security import TransportSecurity
from cassiahold.wire.transport import Channel, PeerSender


class PeerSenders:
    """One sender for each address; thread-safe."""

    def __init__(self, security: TransportSecurity) -> None:
        self._security = security
        self._lock = threading.Lock()
        self._sender_by_address: dict[str, PeerSender] = {}

    def send(self, envelopes: list[Envelope]) -> None:
        """Pass messages to the senders for their receivers."""
        for envelope in envelopes:
            self._sender_to(replica_address(envelope.receiver)).send(envelope)

    def close(self) -> None:
        """Stop all senders."""
        with self._lock:
            for sender in self._sender_by_address.values():
                sender.close()

    def _sender_to(self, address: str) -> PeerSender:
        with self._lock:
            sender = self._sender_by_address.get(address)
            if sender is None:
                sender = PeerSender(
                    Channel(address, self._security, requests.CODEC)
                )
                self._sender_by_address[address] = sender
            return sender
