"""Mutual TLS between the system's processes, reloaded from the files."""

import pathlib
import typing

import grpc
import msgspec

from cassiahold.core.conf.settings import TlsSettings
from cassiahold.core.exceptions import CassiaholdError, ErrorKind


class _Files(msgspec.Struct, frozen=True):
    ca: bytes
    certificate: bytes
    key: bytes


class TransportSecurity:
    """Credentials for servers and channels, from the settings."""

    def __init__(self, tls: TlsSettings, folder: pathlib.Path) -> None:
        self._tls = tls
        self._folder = folder
        self._served_stamp: float = 0
        if self.is_mutual:
            self._read()

    @property
    def is_mutual(self) -> bool:
        """Tell whether connections are encrypted and both sides proved."""
        return self._tls.mode == 'mutual'

    def stamp(self) -> float:
        """Return a number that changes when a file is replaced."""
        if not self.is_mutual:
            return 0
        return max(path.stat().st_mtime for path in self._paths())

    def bind(self, server: typing.Any, address: str) -> int:
        """Add a listening address; returns 0 when it cannot be used."""
        if not self.is_mutual:
            return int(server.add_insecure_port(address))
        return int(server.add_secure_port(address, self._server_credentials()))

    def open_channel(
        self, address: str, options: typing.Sequence[tuple[str, int]]
    ) -> typing.Any:
        """Return a channel to another process."""
        if not self.is_mutual:
            return grpc.insecure_channel(address, options)
        files = self._read()
        credentials = grpc.ssl_channel_credentials(
            files.ca, files.key, files.certificate
        )
        return grpc.secure_channel(address, credentials, options)

    def _server_credentials(self) -> typing.Any:
        self._served_stamp = self.stamp()
        return grpc.dynamic_ssl_server_credentials(
            self._server_configuration(),
            self._reload_when_replaced,
            require_client_authentication=True,
        )

    def _reload_when_replaced(self) -> typing.Any:
        stamp = self.stamp()
        if stamp == self._served_stamp:
            return None
        self._served_stamp = stamp
        return self._server_configuration()

    def _server_configuration(self) -> typing.Any:
        files = self._read()
        return grpc.ssl_server_certificate_configuration(
            [(files.key, files.certificate)], root_certificates=files.ca
        )

    def _paths(self) -> list[pathlib.Path]:
        return [
            self._folder / name
            for name in (
                self._tls.ca_file,
                self._tls.certificate_file,
                self._tls.key_file,
            )
        ]

    def _read(self) -> _Files:
        contents = []
        for path in self._paths():
            try:
                contents.append(path.read_bytes())
            except OSError as exc:
                raise CassiaholdError(
                    ErrorKind.BAD_SETTINGS,
                    f'cannot read TLS file {path}: {exc.strerror}',
                ) from exc
        return _Files(*contents)
