"""What every command is made of."""

import argparse
import os
import pathlib
import typing

import msgspec
import yaml

from cassiahold.cli.output import ExitCode, ProgressLine
from cassiahold.client import OperatorClient
from cassiahold.config.document import Configuration
from cassiahold.core.conf.loading import parse_yaml
from cassiahold.core.exceptions import CassiaholdError, ErrorKind

GATEWAYS_VARIABLE: typing.Final = 'CASSIAHOLD_GATEWAYS'
KEY_VARIABLE: typing.Final = 'CASSIAHOLD_OPERATOR_KEY'
DEFAULT_GATEWAY: typing.Final = '127.0.0.1:8080'
DEFAULT_WAIT_S: typing.Final = 9.0  # a change is in force by then


class Command(typing.Protocol):
    """One subcommand; each module of ``commands`` has one."""

    name: str
    help: str

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the command's own arguments."""

    def run(self, arguments: argparse.Namespace) -> ExitCode:
        """Do it; raises ``CassiaholdError`` when it fails."""


def open_client(arguments: argparse.Namespace) -> OperatorClient:
    """Return a client for the gateways and key that were given."""
    gateways = arguments.gateway or os.environ.get(
        GATEWAYS_VARIABLE, DEFAULT_GATEWAY
    ).split(',')
    return OperatorClient(gateways, _operator_key(arguments))


def show_progress(text: str) -> ProgressLine:
    """Return a context that shows progress after a second."""
    return ProgressLine(text)


def read_configuration(path: pathlib.Path) -> Configuration:
    """Return the configuration in a YAML file, ``-`` for standard input."""
    try:
        text = (
            pathlib.Path('/dev/stdin').read_text()
            if str(path) == '-'
            else path.read_text()
        )
    except OSError as exc:
        raise CassiaholdError(
            ErrorKind.BAD_CONFIGURATION, f'cannot read {path}: {exc.strerror}'
        ) from exc
    return parse_yaml(
        text, Configuration, str(path), ErrorKind.BAD_CONFIGURATION
    )


def convert_to_json_types(
    configuration: Configuration,
) -> dict[str, typing.Any]:
    """Return a configuration as JSON types."""
    return typing.cast(
        dict[str, typing.Any],
        msgspec.json.decode(msgspec.json.encode(configuration)),
    )


def dump_yaml(plain: typing.Any) -> str:
    """Return JSON types as YAML."""
    return yaml.safe_dump(plain, sort_keys=False)


def _operator_key(arguments: argparse.Namespace) -> str:
    path = arguments.operator_key_file
    if path is None:
        return os.environ.get(KEY_VARIABLE, '')
    try:
        return str(path.read_text()).strip()
    except OSError as exc:
        raise CassiaholdError(
            ErrorKind.BAD_REQUEST, f'cannot read {path}: {exc.strerror}'
        ) from exc
