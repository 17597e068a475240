"""``cassiahold certificates``: create a CA and certificates for hosts."""

import argparse
import datetime
import ipaddress
import pathlib
import typing

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from cassiahold.cli.output import ExitCode, print_json, print_line
from cassiahold.core.conf.loading import load_yaml
from cassiahold.core.conf.settings import CellSettings, HostEntry
from cassiahold.core.exceptions import CassiaholdError, ErrorKind

DAYS_VALID: typing.Final = 365
_CLOCK_SKEW_MARGIN: typing.Final = datetime.timedelta(hours=1)
_OWNER_ONLY_MODE: typing.Final = 0o600


class CertificatesCommand:
    """Writes a CA certificate, and a certificate and key for each host."""

    name = 'certificates'
    help = 'create certificates for the connections between hosts'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the cell's settings file and the folder to write to."""
        parser.add_argument('--cell', type=pathlib.Path, required=True)
        parser.add_argument('--folder', type=pathlib.Path, required=True)

    def run(self, arguments: argparse.Namespace) -> ExitCode:
        """Create the CA and the certificates; refuses an existing folder."""
        cell = load_yaml(arguments.cell, CellSettings)
        folder: pathlib.Path = arguments.folder
        if folder.exists():
            raise CassiaholdError(
                ErrorKind.BAD_REQUEST, f'{folder} exists; choose a new folder'
            )
        folder.mkdir(parents=True)
        authority = _CertificateAuthority(cell.name)
        _write_certificate(folder / 'ca.pem', authority.certificate)
        for host in cell.hosts:
            authority.issue(host, folder)
        names = [host.name for host in cell.hosts]
        if arguments.json:
            print_json({'folder': str(folder), 'hosts': names})
        else:
            print_line(f'{len(names)} certificates in {folder}')
        return ExitCode.DONE


class _CertificateAuthority:
    def __init__(self, cell: str) -> None:
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = _common_name(f'{cell} authority')
        self.certificate = (
            _certificate_builder(self._name, self._name, self._key.public_key())
            .add_extension(
                x509.BasicConstraints(ca=True, path_length=0), critical=True
            )
            .sign(self._key, hashes.SHA256())
        )

    def issue(self, host: HostEntry, folder: pathlib.Path) -> None:
        """Write a host's certificate, valid for its addresses, and its key."""
        key = ec.generate_private_key(ec.SECP256R1())
        addresses = {
            ipaddress.ip_address(address.rpartition(':')[0])
            for address in (host.gateway, host.scheduler, host.coordinator)
            if address
        }
        certificate = (
            _certificate_builder(
                _common_name(host.name), self._name, key.public_key()
            )
            .add_extension(
                x509.SubjectAlternativeName(
                    [x509.IPAddress(address) for address in sorted(addresses)]
                ),
                critical=False,
            )
            .sign(self._key, hashes.SHA256())
        )
        _write_certificate(folder / f'{host.name}.pem', certificate)
        path = folder / f'{host.name}.key'
        path.touch(_OWNER_ONLY_MODE)
        path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )


def _certificate_builder(
    subject: x509.Name, issuer: x509.Name, key: ec.EllipticCurvePublicKey
) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - _CLOCK_SKEW_MARGIN)
        .not_valid_after(now + datetime.timedelta(days=DAYS_VALID))
    )


def _common_name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _write_certificate(
    path: pathlib.Path, certificate: x509.Certificate
) -> None:
    path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
