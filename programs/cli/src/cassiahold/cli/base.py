"""Protocol of commands, and helpers that several commands share."""

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
DEFAULT_WAIT_S: typing.Final = 9.0  # a change is in force within this time


class Command(typing.Protocol):
    """A subcommand of ``cassiahold``."""

    name: str
    help: str

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to its parser."""

    def run(self, arguments: argparse.Namespace) -> ExitCode:
        """Run the command; raises ``CassiaholdError`` when it fails."""


def open_client(arguments: argparse.Namespace) -> OperatorClient:
    """Return a client for the gateways and the key in the arguments.

    Environment variables stand in for arguments that are absent.
    """
    gateways = arguments.gateway or os.environ.get(
        GATEWAYS_VARIABLE, DEFAULT_GATEWAY
    ).split(',')
    return OperatorClient(gateways, _operator_key(arguments))


def show_progress(text: str) -> ProgressLine:
    """Return a context that shows a progress line after a second."""
    return ProgressLine(text)


def read_configuration(path: pathlib.Path) -> Configuration:
    """Read a configuration from a YAML file; ``-`` is standard input."""
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
    """Return a configuration as dicts, lists and plain values."""
    return typing.cast(
        dict[str, typing.Any],
        msgspec.json.decode(msgspec.json.encode(configuration)),
    )


def dump_yaml(document: typing.Any) -> str:
    """Return plain values as YAML text."""
    return yaml.safe_dump(document, sort_keys=False)


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
