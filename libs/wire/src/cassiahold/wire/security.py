"""Mutual TLS between the system's processes; replaced files are reloaded."""

import pathlib
import typing

import grpc
import msgspec

from cassiahold.core.conf.settings import TlsSettings
from cassiahold.core.exceptions import CassiaholdError, ErrorKind


class _TlsFiles(msgspec.Struct, frozen=True):
    ca: bytes
    certificate: bytes
    key: bytes


class TransportSecurity:
    """TLS credentials of servers and channels, or plain text.

    File names in the settings are relative to ``folder``.  Raises
    ``BAD_SETTINGS`` when a file cannot be read.
    """

    def __init__(self, tls: TlsSettings, folder: pathlib.Path) -> None:
        self._settings = tls
        self._folder = folder
        self._served_mtime: float = 0
        if self.uses_mutual_tls:
            self._read_files()

    @property
    def uses_mutual_tls(self) -> bool:
        """Return whether connections use TLS with certificates on both sides.

        Otherwise they are in plain text.
        """
        return self._settings.mode == 'mutual'

    def newest_mtime(self) -> float:
        """Return the newest modification time of the files.

        It changes when a file is replaced.  Returns 0 for plain text.
        Raises ``BAD_SETTINGS`` while a file is missing.
        """
        if not self.uses_mutual_tls:
            return 0
        return max(map(_modification_time, self._paths()))

    def bind(self, server: typing.Any, address: str) -> int:
        """Add a listening address to a gRPC server and return its port.

        Returns 0 when the address cannot be used.
        """
        if not self.uses_mutual_tls:
            return int(server.add_insecure_port(address))
        return int(server.add_secure_port(address, self._server_credentials()))

    def open_channel(
        self, address: str, options: typing.Sequence[tuple[str, int]]
    ) -> typing.Any:
        """Return a gRPC channel to another process."""
        if not self.uses_mutual_tls:
            return grpc.insecure_channel(address, options)
        files = self._read_files()
        credentials = grpc.ssl_channel_credentials(
            files.ca, files.key, files.certificate
        )
        return grpc.secure_channel(address, credentials, options)

    def _server_credentials(self) -> typing.Any:
        self._served_mtime = self.newest_mtime()
        return grpc.dynamic_ssl_server_credentials(
            self._certificate_configuration(),
            self._reload_certificates,
            require_client_authentication=True,
        )

    def _reload_certificates(self) -> typing.Any:
        mtime = self.newest_mtime()
        if mtime == self._served_mtime:
            return None
        self._served_mtime = mtime
        return self._certificate_configuration()

    def _certificate_configuration(self) -> typing.Any:
        files = self._read_files()
        return grpc.ssl_server_certificate_configuration(
            [(files.key, files.certificate)], root_certificates=files.ca
        )

    def _paths(self) -> list[pathlib.Path]:
        return [
            self._folder / name
            for name in (
                self._settings.ca_file,
                self._settings.certificate_file,
                self._settings.key_file,
            )
        ]

    def _read_files(self) -> _TlsFiles:
        contents = []
        for path in self._paths():
            try:
                contents.append(path.read_bytes())
            except OSError as exc:
                raise _file_error(path, exc) from exc
        return _TlsFiles(*contents)


def _modification_time(path: pathlib.Path) -> float:
    try:
        return path.stat().st_mtime
    except OSError as exc:
        raise _file_error(path, exc) from exc


def _file_error(path: pathlib.Path, exc: OSError) -> CassiaholdError:
    return CassiaholdError(
        ErrorKind.BAD_SETTINGS,
        f'cannot read TLS file {path}: {exc.strerror}',
    )
